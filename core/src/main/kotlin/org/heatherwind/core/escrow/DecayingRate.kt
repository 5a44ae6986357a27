package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime
import kotlin.math.exp

/** A rate whose past contributions fade with a half-life. */
public class DecayingRate(startedAt: MonotonicTime, halfLifeMilliseconds: Double) {
    /** Time in which a contribution loses half of its weight. */
    public var halfLifeMilliseconds: Double = halfLifeMilliseconds

    private var weight = 0.0
    private var elapsedWeight = 0.0
    private var updatedAt = startedAt

    /** Adds [amount] at [now]. */
    public fun add(amount: Double, now: MonotonicTime) {
        fade(now)
        weight += amount
    }

    /** The faded sum divided by the faded time. */
    public fun perSecond(now: MonotonicTime): Double {
        fade(now)
        return weight / maxOf(elapsedWeight, MINIMUM_SPAN_MILLISECONDS) * MILLISECONDS_PER_SECOND
    }

    private fun fade(now: MonotonicTime) {
        val elapsed = now.millisecondsSince(updatedAt).coerceAtLeast(0).toDouble()
        if (elapsed == 0.0) return
        val rate = LN_2 / halfLifeMilliseconds
        val kept = exp(-rate * elapsed)
        weight *= kept
        elapsedWeight = elapsedWeight * kept + (1 - kept) / rate
        updatedAt = now
    }

    private companion object {
        const val LN_2 = 0.6931471805599453
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** A rate over less than a second says little. */
        const val MINIMUM_SPAN_MILLISECONDS = 1_000.0
    }
}
