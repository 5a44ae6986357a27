package org.heatherwind.core.owner

import org.heatherwind.core.identity.Timestamp
import kotlin.math.exp
import kotlin.math.roundToLong

/**
 * A forecast of demand by exponential smoothing over time.
 *
 * @property tokensPerSecond smoothed rate at [updatedAt]
 */
public data class DemandForecast(val tokensPerSecond: Double = 0.0, val updatedAt: Timestamp = Timestamp(0)) {
    /** This forecast after [tokens] more were asked for at [now]. */
    public fun plus(tokens: Long, now: Timestamp): DemandForecast =
        DemandForecast(rateAt(now) + tokens / SMOOTHING_SECONDS, now)

    /** Tokens a second expected at [now]. */
    public fun rateAt(now: Timestamp): Double {
        if (now == updatedAt) return tokensPerSecond
        val seconds = now.millisecondsSince(updatedAt).coerceAtLeast(0) / MILLISECONDS_PER_SECOND
        return tokensPerSecond * exp(-seconds / SMOOTHING_SECONDS)
    }

    /** Tokens expected over the next [seconds]. */
    public fun tokensOver(seconds: Long, now: Timestamp): Long = (rateAt(now) * seconds).roundToLong()

    private companion object {
        const val SMOOTHING_SECONDS = 60.0
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
