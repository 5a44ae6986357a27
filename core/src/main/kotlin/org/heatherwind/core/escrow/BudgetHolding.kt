package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime

/**
 * What this router holds of one customer's budget. A request reserves its worst case before it is sent, and is charged
 * what it used. It is never started on tokens that were not granted.
 */
public class BudgetHolding(startedAt: MonotonicTime) {
    /** Tokens granted since the start of this process, by the store. */
    public var grantedTokens: Long = 0
        private set

    /** Tokens charged since the start of this process, less those received from other routers. */
    public var usedTokens: Long = 0
        private set

    /** Worst cases of open requests. */
    public var reservedTokens: Long = 0
        private set

    private var ceiling: ConfirmedCeiling? = null
    private var proposed: ConfirmedCeiling? = null
    private var witnessedTokens = Long.MIN_VALUE
    private val demand = DecayingRate(startedAt, DEMAND_HALF_LIFE_MILLISECONDS)

    /** Granted tokens that no request has reserved or used. */
    public val availableTokens: Long get() = grantedTokens - committedTokens

    /** Tokens that were used or are reserved. */
    public val committedTokens: Long get() = usedTokens + reservedTokens

    /** Tokens that a new request may reserve at [now]. */
    public fun reservableTokens(now: MonotonicTime): Long =
        minOf(grantedTokens, maxOf(storedCeiling(now), witnessedCeiling(now))) - committedTokens

    /** Either of the last two ceilings may be the one that the store holds, so the smaller one counts. */
    private fun storedCeiling(now: MonotonicTime): Long =
        minOf(ceiling?.at(now) ?: 0, proposed?.at(now) ?: Long.MAX_VALUE)

    private fun witnessedCeiling(now: MonotonicTime): Long =
        minOf(witnessedTokens, ceiling?.witnessedAt(now) ?: 0, proposed?.witnessedAt(now) ?: Long.MAX_VALUE)

    /**
     * The ceiling that the next report should carry. What lies between use and ceiling is lost to the customer if this
     * process dies, so it is bounded by what the customer has left. [neededTokens] of a waiting request go beyond that.
     */
    public fun nextCeiling(now: MonotonicTime, neededTokens: Long, remainder: RemainingBudget): SpendCeiling {
        val rate = demandPerSecond(now)
        val level = remainder.level(rate)
        val bearableLoss = remainder.lossAllowanceTokens
        val minimum = minOf(bearableLoss, MINIMUM_SLACK_TOKENS)
        val slack = when (level) {
            BudgetLevel.HIGH -> maxOf((rate * PLENTIFUL_SLACK_SECONDS).toLong(), bearableLoss)
            BudgetLevel.NORMAL -> (rate * SLACK_SECONDS).toLong()
            BudgetLevel.LOW -> 0
        }.coerceAtLeast(neededTokens + minimum)
        val isGrowing = level != BudgetLevel.LOW
        return SpendCeiling(
            tokens = maxOf(committedTokens, minOf(grantedTokens, committedTokens + slack)),
            growthPerSecond = if (isGrowing) maxOf(rate.toLong(), MINIMUM_RATE_TOKENS) else 0,
            releaseTokens = if (isGrowing) bearableLoss else 0,
        )
    }

    /** Notes that [ceiling] is sent to the store at [sentAt], and may be what it holds from now on. */
    public fun propose(ceiling: SpendCeiling, sentAt: MonotonicTime) {
        proposed = ConfirmedCeiling(ceiling, sentAt)
    }

    /** Notes that the store confirmed [confirmed] in a call sent at [sentAt]. A witness's word ends with that. */
    public fun confirm(confirmed: SpendCeiling, sentAt: MonotonicTime) {
        ceiling = ConfirmedCeiling(confirmed, sentAt)
        proposed = null
        witnessedTokens = Long.MIN_VALUE
    }

    /** Notes that a witness will tell this router's successor that [tokens] may have been charged. */
    public fun confirmWitnessed(tokens: Long) {
        witnessedTokens = maxOf(witnessedTokens, tokens)
    }

    /** Whether the store should be told a higher ceiling before requests have to wait for it. */
    public fun isCeilingLow(now: MonotonicTime): Boolean {
        val left = (ceiling?.tokens ?: 0) - committedTokens
        val roomInGrant = grantedTokens - (ceiling?.tokens ?: 0)
        return roomInGrant > 0 && left < demandPerSecond(now) * SLACK_SECONDS * LOW_SHARE
    }

    /** Notes that a request of [tokens] was asked for at [now], served or not. */
    public fun recordDemand(tokens: Long, now: MonotonicTime) {
        demand.add(tokens.toDouble(), now)
    }

    /** With more [holders] each sees fewer requests, so its rate has to follow a longer time to mean anything. */
    public fun updateHolderCount(holders: Int) {
        demand.halfLifeMilliseconds = maxOf(DEMAND_HALF_LIFE_MILLISECONDS, holders * HALF_LIFE_PER_HOLDER_MILLISECONDS)
    }

    /** Tokens asked for per second, recent ones weighing most. */
    public fun demandPerSecond(now: MonotonicTime): Double = demand.perSecond(now)

    /** Reserves [tokens], or answers false when they are not available at [now]. */
    public fun tryReserve(tokens: Long, now: MonotonicTime): Boolean {
        if (reservableTokens(now) < tokens) return false
        reservedTokens += tokens
        return true
    }

    /** Charges up to [wanted] tokens that another router receives, and answers how many. */
    public fun transferOut(wanted: Long, now: MonotonicTime): Long {
        val lent = minOf(reservableTokens(now) / LENT_DIVISOR, wanted).coerceAtLeast(0)
        usedTokens += lent
        return lent
    }

    /** Credits [tokens] that another router charged for this one. Use may fall below zero by that. */
    public fun transferIn(tokens: Long) {
        usedTokens -= tokens
    }

    /** Charges [tokens] of a reservation that were consumed. */
    public fun charge(tokens: Long) {
        reservedTokens -= tokens
        usedTokens += tokens
    }

    /** Gives up [tokens] of a reservation that were not consumed. */
    public fun release(tokens: Long) {
        reservedTokens -= tokens
    }

    /** Takes over the grant that the store shows for this process. */
    public fun setGranted(tokens: Long) {
        grantedTokens = tokens
    }

    private companion object {
        /** Follows a customer that suddenly sends more within a second or two. */
        const val DEMAND_HALF_LIFE_MILLISECONDS = 3_000.0

        /** Keeps a few requests of a middling customer within the half-life in a fleet of any size. */
        const val HALF_LIFE_PER_HOLDER_MILLISECONDS = 250.0

        /** Half of what a router could use itself may go to another. */
        const val LENT_DIVISOR = 2

        /** Several times the time that a report takes when it is asked for; the rest is lost with the process. */
        const val SLACK_SECONDS = 0.15

        /** Covers the requests of the first second without an answer of the store. */
        const val PLENTIFUL_SLACK_SECONDS = 1.0

        /** About one request of a short kind; larger ones wait for a report. */
        const val MINIMUM_SLACK_TOKENS = 2_500L

        /** Lets a customer without recent demand send a short request every few seconds of an outage. */
        const val MINIMUM_RATE_TOKENS = 1_000L

        /** A report takes some milliseconds, so it is sent while part of the slack is left. */
        const val LOW_SHARE = 0.6
    }
}
