package org.heatherwind.core.admission

import org.heatherwind.core.identity.MonotonicTime

/** What a router does with a request next. */
public sealed interface AdmissionDecision {
    /** The request is sent now. */
    public data object Send : AdmissionDecision

    /** The request waits at the router for a target that takes it, and is refused at the time [until]. */
    public data class Wait(val until: MonotonicTime) : AdmissionDecision

    /** The request is refused; its caller may come back [retryAfterMilliseconds] later. */
    public data class Refuse(val retryAfterMilliseconds: Long) : AdmissionDecision
}

/**
 * What a router expects of the targets of a request.
 *
 * @property predictedMilliseconds predicted time to the first event at the target that was chosen, or null if none of
 *   them takes a request now
 * @property hasFreePlace whether that target would begin with the request at once
 * @property opensAt when the first of the closed targets takes requests again, or null if that is not known
 * @property canOpen whether some target that may get this request could take it later
 * @property roomMilliseconds expected time until one of the targets has a place
 */
public data class Prospect(
    val predictedMilliseconds: Double?,
    val hasFreePlace: Boolean,
    val opensAt: MonotonicTime?,
    val canOpen: Boolean,
    val roomMilliseconds: Long,
)
