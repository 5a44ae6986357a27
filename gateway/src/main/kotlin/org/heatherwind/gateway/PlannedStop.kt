package org.heatherwind.gateway

import org.heatherwind.core.identity.MonotonicTime

/**
 * The times of a planned stop, set when it is requested.
 *
 * @property removedAt when the load balancer has removed the router, which takes only requests that fit from then on
 * @property endsAt when the requests in progress are ended
 */
internal data class PlannedStop(val removedAt: MonotonicTime, val endsAt: MonotonicTime) {
    /** Returns when a request that is admitted at [now] would be ended, or null while all are taken. */
    fun deadlineAt(now: MonotonicTime): MonotonicTime? = endsAt.takeIf { now >= removedAt }

    companion object {
        /** The load balancer removes a router after two failed readiness checks, 1 s apart. */
        private const val LOAD_BALANCER_REMOVAL_MILLISECONDS = 2_500L

        /** Reserved at the end for the final writes and the exit of the process. */
        private const val RESERVE_MILLISECONDS = 900L

        /** Larger parts of a short stop would end requests that still have time. */
        private const val RESERVE_DIVISOR = 6L

        /** Returns the times of a stop requested at [requestedAt] that may take [milliseconds]. */
        fun of(requestedAt: MonotonicTime, milliseconds: Long): PlannedStop {
            val reserve = minOf(RESERVE_MILLISECONDS, milliseconds / RESERVE_DIVISOR)
            return PlannedStop(
                removedAt = requestedAt.plusMilliseconds(minOf(LOAD_BALANCER_REMOVAL_MILLISECONDS, milliseconds / 2)),
                endsAt = requestedAt.plusMilliseconds(milliseconds - reserve),
            )
        }
    }
}
