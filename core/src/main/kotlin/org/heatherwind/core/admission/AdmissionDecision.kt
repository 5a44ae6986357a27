package org.heatherwind.core.admission

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.TargetLoad

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
 * @property overloadedUntil until when that target is taken for full, since it rejected a request for overload, or null
 * @property resumedAt when the search for another target began if a part of the answer was forwarded, or null
 * @property roomMilliseconds expected time until one of the targets has a place
 */
public data class Prospect(
    val predictedMilliseconds: Double?,
    val hasFreePlace: Boolean,
    val opensAt: MonotonicTime?,
    val canOpen: Boolean,
    val roomMilliseconds: Long,
    val overloadedUntil: MonotonicTime? = null,
    val resumedAt: MonotonicTime? = null,
) {
    public companion object {
        /**
         * Returns the prospect at [now] of a request for which [placement] was found among [targets].
         *
         * @param tried targets to which the request was sent before
         */
        public fun of(
            placement: Placement?,
            targets: List<TargetLoad>,
            tried: Set<TargetId>,
            roomMilliseconds: Long,
            now: MonotonicTime,
            resumedAt: MonotonicTime? = null,
        ): Prospect {
            val target = placement?.target
            val usable = targets.filter { it.entry.id !in tried && it.isStaying }
            return Prospect(
                predictedMilliseconds = placement?.predictedMilliseconds,
                hasFreePlace = target != null && hasFreePlace(target, now),
                opensAt = opensAt(usable, now),
                canOpen = usable.isNotEmpty(),
                roomMilliseconds = roomMilliseconds,
                overloadedUntil = target?.health?.overloadedUntil?.takeIf { now < it },
                resumedAt = resumedAt,
            )
        }

        /** Returns when the first of [targets] opens, or null if some have not asked for a pause, or if all leave. */
        public fun opensAt(targets: List<TargetLoad>, now: MonotonicTime): MonotonicTime? {
            val staying = targets.filter { it.isStaying }.map { it.availability }
            return if (staying.any { it.isOpen(now) }) null else staying.minOfOrNull { it.closedUntil }
        }

        private val TargetLoad.isStaying: Boolean get() = !isReplaced && !availability.isLeaving

        private fun hasFreePlace(target: TargetLoad, now: MonotonicTime): Boolean =
            target.report.waitingRequests(now) == 0.0 &&
                target.inFlightRequests + target.report.externalRequests(now) < target.entry.slots
    }
}
