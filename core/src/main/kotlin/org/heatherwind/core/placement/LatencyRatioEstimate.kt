package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/** How long first events take against their prediction, as a factor that follows the observations. */
public class LatencyRatioEstimate(private val weight: Double) {
    private var factor = 1.0
    private var observedAt = MonotonicTime.distantPast

    /** Notes that an event predicted after [expectedMilliseconds] came after [actualMilliseconds]. */
    public fun observe(expectedMilliseconds: Double, actualMilliseconds: Double, now: MonotonicTime) {
        val ratio = (actualMilliseconds + FLOOR_MILLISECONDS) / (expectedMilliseconds + FLOOR_MILLISECONDS)
        factor = ratioAt(now) * (1 - weight) + ratio.coerceIn(MINIMUM_RATIO, MAXIMUM_RATIO) * weight
        observedAt = now
    }

    /** The factor at [now]; without observations it returns to 1. */
    public fun ratioAt(now: MonotonicTime): Double {
        val age = now.millisecondsSince(observedAt)
        val trust = (1 - age.toDouble() / FORGOTTEN_MILLISECONDS).coerceIn(0.0, 1.0)
        return 1 + (factor - 1) * trust
    }

    private companion object {
        /** Keeps very short times, which are mostly network delay, from giving extreme ratios. */
        const val FLOOR_MILLISECONDS = 40.0
        const val MINIMUM_RATIO = 0.3
        const val MAXIMUM_RATIO = 8.0

        /** A target that was slow this long ago may have recovered. */
        const val FORGOTTEN_MILLISECONDS = 8_000L
    }
}
