package org.heatherwind.core.owner

import org.heatherwind.core.identity.Timestamp
import kotlin.math.exp
import kotlin.math.roundToLong

/**
 * Forecast of token demand: an exponentially decaying average of the demand rate with a time constant of 60 seconds.
 *
 * @property tokensPerSecond average rate at [updatedAt], in tokens per second
 */
public data class DemandForecast(val tokensPerSecond: Double = 0.0, val updatedAt: Timestamp = Timestamp(0)) {
    /** Returns the forecast updated with a demand of [tokens] at [now]. */
    public fun plus(tokens: Long, now: Timestamp): DemandForecast =
        DemandForecast(rateAt(now) + tokens / TIME_CONSTANT_SECONDS, now)

    /** Returns the expected demand at [now], in tokens per second. */
    public fun rateAt(now: Timestamp): Double {
        if (now == updatedAt) return tokensPerSecond
        val seconds = now.millisecondsSince(updatedAt).coerceAtLeast(0) / MILLISECONDS_PER_SECOND
        return tokensPerSecond * exp(-seconds / TIME_CONSTANT_SECONDS)
    }

    /** Returns the tokens expected to be demanded in the [seconds] after [now], at the rate of [now]. */
    public fun tokensOver(seconds: Long, now: Timestamp): Long = (rateAt(now) * seconds).roundToLong()

    private companion object {
        const val TIME_CONSTANT_SECONDS = 60.0
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
