package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime

/**
 * This router's part of one customer's budget. A request reserves its worst case before it is sent and is charged what
 * it consumed, so no request starts on tokens that were not granted.
 */
public class BudgetHolding(startedAt: MonotonicTime) {
    /** The grant of this process in the store. */
    public val grant: UsableGrant = UsableGrant()

    /** Tokens granted to this process since its start that it may use. */
    public val grantedTokens: Long get() = grant.tokens

    /** Tokens charged since the start of this process, minus those transferred from other routers. */
    public var usedTokens: Long = 0
        private set

    /** Sum of the current reservations. */
    public var reservedTokens: Long = 0
        private set

    private var confirmedCeiling: SentCeiling? = null
    private var proposedCeiling: SentCeiling? = null
    private var witnessedTokens = Long.MIN_VALUE
    private val demand = DecayingRate(startedAt, DEMAND_HALF_LIFE_MILLISECONDS, RELIABLE_REQUESTS)
    private var largestRequest = LargestRequest(tokens = 0, seenAt = startedAt)

    /** Granted tokens that are neither used nor reserved. */
    public val availableTokens: Long get() = grantedTokens - committedTokens

    /** Tokens that are used or reserved. */
    public val committedTokens: Long get() = usedTokens + reservedTokens

    /** Returns the tokens that a new request may reserve at [now], within both the grant and the spend ceiling. */
    public fun reservableTokens(now: MonotonicTime): Long =
        minOf(grantedTokens, maxOf(storedCeiling(now), witnessedCeiling(now))) - committedTokens

    /**
     * Returns the earliest time from [now] to [deadline] at which [tokens] become reservable if the store does not
     * respond and no other request ends, or null if there is none. The result is exact to [GROWTH_STEP_MILLISECONDS].
     */
    public fun reservableFrom(tokens: Long, now: MonotonicTime, deadline: MonotonicTime): MonotonicTime? {
        if (availableTokens < tokens) return null
        val steps = (deadline.millisecondsSince(now) / GROWTH_STEP_MILLISECONDS).coerceIn(0, MAXIMUM_GROWTH_STEPS)
        return (0..steps).asSequence().map { now.plusMilliseconds(it * GROWTH_STEP_MILLISECONDS) }
            .firstOrNull { reservableTokens(it) >= tokens }
    }

    /** The store may hold either the confirmed or the proposed ceiling, so the smaller one applies. */
    private fun storedCeiling(now: MonotonicTime): Long =
        minOf(confirmedCeiling?.tokensAt(now) ?: 0, proposedCeiling?.tokensAt(now) ?: Long.MAX_VALUE)

    private fun witnessedCeiling(now: MonotonicTime): Long = minOf(
        witnessedTokens,
        confirmedCeiling?.witnessedTokensAt(now) ?: 0,
        proposedCeiling?.witnessedTokensAt(now) ?: Long.MAX_VALUE,
    )

    /**
     * Returns the spend ceiling for the next report. Tokens between use and ceiling are lost to the customer if this
     * process fails, so this slack depends on the [remaining] budget. It covers at least [neededTokens] of a waiting
     * request, and the ceiling does not exceed the grant.
     */
    public fun nextCeiling(now: MonotonicTime, neededTokens: Long, remaining: RemainingBudget): SpendCeiling {
        val rate = demandPerSecond(now)
        val lossAllowance = remaining.lossAllowanceTokens(rate, largestRequestTokens(now))
        val minimum = minOf(lossAllowance, MINIMUM_SLACK_TOKENS)
        val slack = lossAllowance.coerceAtLeast(neededTokens + minimum)
        return SpendCeiling(
            tokens = maxOf(committedTokens, minOf(grantedTokens, committedTokens + slack)),
            growthPerSecond = maxOf(rate.toLong(), MINIMUM_GROWTH_TOKENS_PER_SECOND),
            releaseTokens = remaining.thriftyLossAllowanceTokens(rate),
        )
    }

    /** Records that [ceiling] was sent to the store at [sentAt], which may hold it from then on. */
    public fun propose(ceiling: SpendCeiling, sentAt: MonotonicTime) {
        proposedCeiling = SentCeiling(ceiling, sentAt)
    }

    /** Records that the store confirmed [confirmed] in a call sent at [sentAt]. This ends a witnessed ceiling. */
    public fun confirm(confirmed: SpendCeiling, sentAt: MonotonicTime) {
        confirmedCeiling = SentCeiling(confirmed, sentAt)
        proposedCeiling = null
        witnessedTokens = Long.MIN_VALUE
    }

    /** Records that a witness stored a ceiling of [tokens], which it reports to the next process on this instance. */
    public fun confirmWitnessed(tokens: Long) {
        witnessedTokens = maxOf(witnessedTokens, tokens)
    }

    /**
     * Returns whether a higher ceiling should be reported now, before requests have to wait for it: less than a share
     * of the slack that the [remaining] budget allows is left. Where that slack is smaller than a short request in a
     * large fleet, the next request waits for its own report anyway, and one ahead of it would be in vain.
     */
    public fun isCeilingLow(now: MonotonicTime, remaining: RemainingBudget): Boolean {
        val confirmedTokens = confirmedCeiling?.tokens ?: 0
        val unusedCeilingTokens = confirmedTokens - committedTokens
        val grantAboveCeilingTokens = grantedTokens - confirmedTokens
        val allowance = remaining.lossAllowanceTokens(demandPerSecond(now), largestRequestTokens(now))
        val isUseful = remaining.isSmallFleet || allowance >= SMALLEST_REQUEST_TOKENS
        return grantAboveCeilingTokens > 0 && isUseful &&
            unusedCeilingTokens < allowance * LOW_CEILING_SHARE
    }

    /** Records a request for [tokens] at [now], whether it can be served or not. */
    public fun recordDemand(tokens: Long, now: MonotonicTime) {
        demand.add(tokens.toDouble(), now)
        if (tokens >= largestRequestTokens(now)) largestRequest = LargestRequest(tokens, now)
    }

    /** The worst case of the largest recent request, or 0. */
    private fun largestRequestTokens(now: MonotonicTime): Long =
        largestRequest.tokens.takeIf { now.millisecondsSince(largestRequest.seenAt) < RECENT_MILLISECONDS } ?: 0

    /** Adapts the half-life of the demand: the more [holders], the fewer requests each gets, so it averages longer. */
    public fun updateHolderCount(holders: Int) {
        demand.halfLifeMilliseconds = maxOf(DEMAND_HALF_LIFE_MILLISECONDS, holders * HALF_LIFE_PER_HOLDER_MILLISECONDS)
    }

    /** Returns the tokens requested per second, as an average in which recent requests weigh most. */
    public fun demandPerSecond(now: MonotonicTime): Double = demand.perSecond(now)

    /** Reserves [tokens] if they are reservable at [now]. Returns whether they were reserved. */
    public fun tryReserve(tokens: Long, now: MonotonicTime): Boolean {
        if (reservableTokens(now) < tokens) return false
        reservedTokens += tokens
        return true
    }

    /** Charges up to [requestedTokens] that another router will use. Returns the number of tokens charged. */
    public fun transferOut(requestedTokens: Long, now: MonotonicTime): Long {
        val transferred = minOf(reservableTokens(now) / TRANSFER_DIVISOR, requestedTokens).coerceAtLeast(0)
        usedTokens += transferred
        return transferred
    }

    /** Credits [tokens] that another router charged for this one; [usedTokens] may become negative. */
    public fun transferIn(tokens: Long) {
        usedTokens -= tokens
    }

    /** Charges [tokens] of a reservation, which were consumed. */
    public fun charge(tokens: Long) {
        reservedTokens -= tokens
        usedTokens += tokens
    }

    /** Releases [tokens] of a reservation, which were not consumed. */
    public fun release(tokens: Long) {
        reservedTokens -= tokens
    }

    private class LargestRequest(val tokens: Long, val seenAt: MonotonicTime)

    private companion object {
        /** Large requests of a customer usually come again within this time. */
        const val RECENT_MILLISECONDS = 10_000L

        /** Short enough to follow a sudden rise in demand within one or two seconds. */
        const val DEMAND_HALF_LIFE_MILLISECONDS = 3_000.0

        /** Lengthens the half-life to a few requests of a customer of medium demand for any number of holders. */
        const val HALF_LIFE_PER_HOLDER_MILLISECONDS = 250.0

        /** The mean of so many requests is seldom wrong by half. */
        const val RELIABLE_REQUESTS = 8.0

        /** A router may transfer half of its reservable tokens to another. */
        const val TRANSFER_DIVISOR = 2

        /** Short in comparison with the latency objectives of requests. */
        const val GROWTH_STEP_MILLISECONDS = 25L

        /** Limits the search to a few seconds. */
        const val MAXIMUM_GROWTH_STEPS = 200L

        /** About one short request; larger requests wait for a report. */
        const val MINIMUM_SLACK_TOKENS = 2_500L

        /** Below the size of nearly all requests. */
        const val SMALLEST_REQUEST_TOKENS = 500L

        /** Allows a customer without recent demand one short request every few seconds of a store outage. */
        const val MINIMUM_GROWTH_TOKENS_PER_SECOND = 1_000L

        /** A report takes some milliseconds, so it is sent while this share of the slack is left. */
        const val LOW_CEILING_SHARE = 0.5
    }
}
