package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime
import kotlin.math.exp

/**
 * A rate per second whose past contributions decay exponentially. The time before the first contribution does not
 * count, so that a rate which begins late is not underestimated.
 *
 * @param reliableContributions number of contributions from which on a rate is taken from a shorter time than most of
 *   the half-life: the shorter, the more there are
 */
public class DecayingRate(
    startedAt: MonotonicTime,
    halfLifeMilliseconds: Double,
    private val reliableContributions: Double = Double.POSITIVE_INFINITY,
) {
    /** Time in which the weight of a contribution halves. */
    public var halfLifeMilliseconds: Double = halfLifeMilliseconds

    private var weightedSum = 0.0
    private var weightedCount = 0.0
    private var weightedMilliseconds = 0.0
    private var updatedAt = startedAt

    /** Adds [amount] at [now]. */
    public fun add(amount: Double, now: MonotonicTime) {
        if (weightedSum == 0.0) restart(now) else decay(now)
        weightedSum += amount
        weightedCount++
    }

    /**
     * Returns the sum of the weighted contributions divided by the equally weighted time since the first of them. While
     * there are few, the divisor is at least most of the half-life, since they say little about the rate.
     */
    public fun perSecond(now: MonotonicTime): Double {
        decay(now)
        val uncertainty = minOf(1.0, reliableContributions / weightedCount)
        val span = maxOf(weightedMilliseconds, halfLifeMilliseconds * MINIMUM_SPAN_SHARE * uncertainty)
        return weightedSum / span * MILLISECONDS_PER_SECOND
    }

    private fun restart(now: MonotonicTime) {
        weightedCount = 0.0
        weightedMilliseconds = 0.0
        updatedAt = now
    }

    private fun decay(now: MonotonicTime) {
        val elapsed = now.millisecondsSince(updatedAt).coerceAtLeast(0).toDouble()
        if (elapsed == 0.0) return
        val decayRate = LN_2 / halfLifeMilliseconds
        val retainedShare = exp(-decayRate * elapsed)
        weightedSum *= retainedShare
        weightedCount *= retainedShare
        weightedMilliseconds = weightedMilliseconds * retainedShare + (1 - retainedShare) / decayRate
        updatedAt = now
    }

    private companion object {
        const val LN_2 = 0.6931471805599453
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Share of the half-life that a rate of few contributions is averaged over at least. */
        const val MINIMUM_SPAN_SHARE = 0.85
    }
}
