package org.heatherwind.core.escrow

import org.heatherwind.core.identity.Moment
import kotlin.math.exp

/**
 * What this router holds of one customer's budget. A request reserves its worst case before it is sent, and is charged
 * what it used. It is never started on tokens that were not granted.
 */
public class BudgetHolding(startedAt: Moment) {
    /** Tokens granted since the start of this process, by the store. */
    public var grantedTokens: Long = 0
        private set

    /** Tokens charged since the start of this process. */
    public var usedTokens: Long = 0
        private set

    /** Worst cases of open requests. */
    public var reservedTokens: Long = 0
        private set

    private val demand = DecayingRate(startedAt, DEMAND_HALF_LIFE_MILLISECONDS)

    /** Tokens that a new request may reserve. */
    public val availableTokens: Long get() = grantedTokens - usedTokens - reservedTokens

    /** Notes that a request of [tokens] was asked for at [now], served or not. */
    public fun recordDemand(tokens: Long, now: Moment) {
        demand.add(tokens.toDouble(), now)
    }

    /** Tokens asked for per second, recent ones weighing most. */
    public fun demandPerSecond(now: Moment): Double = demand.perSecond(now)

    /** Reserves [tokens], or answers false when they are not available. */
    public fun tryReserve(tokens: Long): Boolean {
        if (availableTokens < tokens) return false
        reservedTokens += tokens
        return true
    }

    /** Ends a reservation of [reserved] tokens of which [used] were consumed. */
    public fun settle(reserved: Long, used: Long) {
        reservedTokens -= reserved
        usedTokens += used.coerceIn(0, reserved)
    }

    /** Takes over the grant that the store shows for this process. */
    public fun setGranted(tokens: Long) {
        grantedTokens = tokens
    }

    private companion object {
        /** Follows a customer that suddenly sends more within a second or two. */
        const val DEMAND_HALF_LIFE_MILLISECONDS = 3_000.0
    }
}

/** A rate whose past contributions fade with a half-life. */
public class DecayingRate(startedAt: Moment, private val halfLifeMilliseconds: Double) {
    private var weight = 0.0
    private var elapsedWeight = 0.0
    private var updatedAt = startedAt

    /** Adds [amount] at [now]. */
    public fun add(amount: Double, now: Moment) {
        fade(now)
        weight += amount
    }

    /** The faded sum divided by the faded time. */
    public fun perSecond(now: Moment): Double {
        fade(now)
        return weight / maxOf(elapsedWeight, MINIMUM_SPAN_MILLISECONDS) * MILLISECONDS_PER_SECOND
    }

    private fun fade(now: Moment) {
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
