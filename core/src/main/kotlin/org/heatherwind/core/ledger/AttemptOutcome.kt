package org.heatherwind.core.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The recorded end of a non-idempotent attempt. */
@Serializable
public sealed interface AttemptOutcome {
    /** The target did not run it; the next attempt may. */
    @Serializable
    @SerialName("not-run")
    public data object NotRun : AttemptOutcome

    /** The target answered with this HTTP [status] and [body]. */
    @Serializable
    @SerialName("answered")
    public data class Answered(val status: Int, val body: String) : AttemptOutcome

    /** The target may have run it; nothing more is known. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : AttemptOutcome
}
