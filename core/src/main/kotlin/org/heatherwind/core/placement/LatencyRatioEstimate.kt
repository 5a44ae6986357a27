package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/**
 * Ratio of the actual to the predicted time to the first event, as a moving average in which each observation has the
 * given [weight].
 */
public class LatencyRatioEstimate(private val weight: Double) {
    private var ratio = 1.0
    private var observedAt = MonotonicTime.distantPast

    /** Records at [now] that a first event took [actualMilliseconds], predicted as [expectedMilliseconds]. */
    public fun observe(expectedMilliseconds: Double, actualMilliseconds: Double, now: MonotonicTime) {
        val observed = ratioOf(expectedMilliseconds, actualMilliseconds)
        ratio = ratioAt(now) * (1 - weight) + observed.coerceIn(MINIMUM_RATIO, MAXIMUM_RATIO) * weight
        observedAt = now
    }

    /** Returns the ratio at [now]; it decays to 1 as the last observation ages. */
    public fun ratioAt(now: MonotonicTime): Double {
        val age = now.millisecondsSince(observedAt)
        val confidence = (1 - age.toDouble() / OBSERVATION_LIFETIME_MILLISECONDS).coerceIn(0.0, 1.0)
        return 1 + (ratio - 1) * confidence
    }

    /** Returns the time to the first event that the ratio at [now] predicts, where [expectedMilliseconds] are usual. */
    public fun predict(expectedMilliseconds: Double, now: MonotonicTime): Double {
        val predicted = ratioAt(now) * (expectedMilliseconds + SMOOTHING_MILLISECONDS) - SMOOTHING_MILLISECONDS
        return predicted.coerceAtLeast(expectedMilliseconds * MINIMUM_RATIO)
    }

    internal companion object {
        /** Returns the ratio of an actual to an expected time. */
        fun ratioOf(expectedMilliseconds: Double, actualMilliseconds: Double): Double =
            (actualMilliseconds + SMOOTHING_MILLISECONDS) / (expectedMilliseconds + SMOOTHING_MILLISECONDS)

        /** Added to both times, so that very short ones, which are mostly network delay, give no extreme ratios. */
        private const val SMOOTHING_MILLISECONDS = 40.0
        private const val MINIMUM_RATIO = 0.3
        private const val MAXIMUM_RATIO = 8.0

        /** A target that was slow this long ago may have recovered since. */
        private const val OBSERVATION_LIFETIME_MILLISECONDS = 8_000L
    }
}
