package org.heatherwind.core.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Recorded outcome of an attempt at non-idempotent work. */
@Serializable
public sealed interface AttemptOutcome {
    /** The target did not run the work; a later claim may run it. */
    @Serializable
    @SerialName("not-run")
    public data object NotRun : AttemptOutcome

    /** The target responded with this HTTP [status] and [body]. */
    @Serializable
    @SerialName("answered")
    public data class Answered(val status: Int, val body: String) : AttemptOutcome

    /** Outcome unknown: the target may have run the work. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : AttemptOutcome
}
