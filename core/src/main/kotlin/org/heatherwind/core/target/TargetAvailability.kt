package org.heatherwind.core.target

import org.heatherwind.core.identity.MonotonicTime

/**
 * Whether a target takes requests, as it has stated in its own answers. It holds for one life of the target, whatever
 * the list of targets says.
 *
 * @property isLeaving whether the target has announced that it leaves
 * @property closedUntil until when the target has asked for no requests
 */
public data class TargetAvailability(
    val isLeaving: Boolean = false,
    val closedUntil: MonotonicTime = MonotonicTime.distantPast,
) {
    /** Returns whether the target may get a request at [now]. */
    public fun isOpen(now: MonotonicTime): Boolean = !isLeaving && now >= closedUntil

    /** Returns this availability after the target has announced that it leaves. */
    public fun withLeaving(): TargetAvailability = copy(isLeaving = true)

    /**
     * Returns this availability after the target has asked, at [now], for no requests for [milliseconds]. An earlier
     * and longer pause stays in force.
     *
     * @param spread from 0 to 1, drawn by each router, so that the work of all does not come back at once
     */
    public fun withPause(milliseconds: Long, spread: Double, now: MonotonicTime): TargetAvailability {
        val added = (minOf(milliseconds * SPREAD_SHARE, MAXIMUM_SPREAD_MILLISECONDS) * spread).toLong()
        return copy(closedUntil = maxOf(closedUntil, now.plusMilliseconds(milliseconds + added)))
    }

    public companion object {
        private const val MILLISECONDS_PER_SECOND = 1_000

        /** A target that wants nothing for longer is asked again after this time. */
        private const val MAXIMUM_PAUSE_SECONDS = 30.0

        /** Share of a pause by which it may be prolonged. */
        private const val SPREAD_SHARE = 0.25
        private const val MAXIMUM_SPREAD_MILLISECONDS = 1_000.0

        /** Returns the pause in milliseconds for the [seconds] that a target states, or null if they are invalid. */
        public fun pauseMilliseconds(seconds: Double): Long? =
            if (seconds >= 0) (minOf(seconds, MAXIMUM_PAUSE_SECONDS) * MILLISECONDS_PER_SECOND).toLong() else null
    }
}
