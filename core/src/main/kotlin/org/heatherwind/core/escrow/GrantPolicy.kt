package org.heatherwind.core.escrow

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicTime

/**
 * What a customer has left in the whole fleet, as far as this router knows.
 *
 * @property tokens prepaid tokens that no router has charged
 * @property demandElsewherePerSecond tokens asked for at other routers
 */
public data class RemainingBudget(val tokens: Long, val demandElsewherePerSecond: Double) {
    /** How long the tokens last at [demandPerSecond] of this router and the demand elsewhere. */
    public fun level(demandPerSecond: Double): BudgetLevel {
        val seconds = tokens / (demandPerSecond + demandElsewherePerSecond).coerceAtLeast(1.0)
        return when {
            seconds > PLENTIFUL_SECONDS -> BudgetLevel.HIGH
            seconds < SCARCE_SECONDS -> BudgetLevel.LOW
            else -> BudgetLevel.NORMAL
        }
    }

    /** Whether parts of the tokens would be smaller than a request, with [demandPerSecond] at this router. */
    public fun isTooSmallToDivide(demandPerSecond: Double): Boolean =
        tokens < (demandPerSecond + demandElsewherePerSecond) * UNDIVIDED_SECONDS

    /** Tokens that one router may lose to the customer by its death beyond what recent demand accounts for. */
    public val lossAllowanceTokens: Long
        get() = (tokens * BEARABLE_LOSS_SHARE).toLong().coerceIn(0, MAXIMUM_BEARABLE_LOSS_TOKENS)

    private companion object {
        /** Less demand than this is too little for parts that hold a request each. */
        const val UNDIVIDED_SECONDS = 2.0

        /** Users accept that 3% of a budget cannot be used up; some routers may die together more than once. */
        const val BEARABLE_LOSS_SHARE = 0.002

        /** About two requests of the largest kind at their mean size. */
        const val MAXIMUM_BEARABLE_LOSS_TOKENS = 20_000L

        /** A customer with this much left can lose a second of demand without noticing. */
        const val PLENTIFUL_SECONDS = 25.0

        /** A customer with this little left is served more slowly rather than charged too much. */
        const val SCARCE_SECONDS = 4.0
    }
}

/** How a customer's remaining tokens compare with its demand. */
public enum class BudgetLevel { HIGH, NORMAL, LOW }

/**
 * How much of a budget a router should hold.
 *
 * @property coverMilliseconds demand that a holding should last for without the store
 * @property headroom factor on the demand, for its unevenness
 * @property minimumTokens smallest holding worth asking for
 */
public data class GrantPolicy(
    val coverMilliseconds: Long = DEFAULT_COVER_MILLISECONDS,
    val headroom: Double = DEFAULT_HEADROOM,
    val minimumTokens: Long = DEFAULT_MINIMUM_TOKENS,
) {
    /**
     * Tokens that [holding] should have available at [now]: the cover, or its part of what the customer has left. The
     * last tokens are not divided ahead of use, since parts smaller than a request help none of the holders.
     */
    public fun desiredTokens(
        holding: BudgetHolding,
        remainder: RemainingBudget,
        holders: Int,
        now: MonotonicTime,
    ): Long {
        val demand = holding.demandPerSecond(now)
        if (remainder.isTooSmallToDivide(demand)) return 0
        val cover = demand * coverMilliseconds / MILLISECONDS_PER_SECOND * headroom
        val share = demand / (demand + remainder.demandElsewherePerSecond).coerceAtLeast(1.0)
        val part = remainder.tokens.coerceAtLeast(0) * share
        val minimum = minOf(minimumTokens, remainder.tokens / (holders.coerceAtLeast(1) * MINIMUM_DIVISOR))
        return minOf(cover.toLong().coerceAtLeast(minimum), part.toLong())
    }

    /** Whether [holding] should ask for more now, before it runs out. */
    public fun isRefillDue(
        holding: BudgetHolding,
        remainder: RemainingBudget,
        holders: Int,
        now: MonotonicTime,
    ): Boolean = holding.availableTokens < desiredTokens(holding, remainder, holders, now) * REFILL_SHARE

    /**
     * Whether [holding] has so much more than it needs that the rest should go back. While [freeTokens] of the budget
     * are ample, nobody needs the rest, and the change is left out.
     */
    public fun isReturnDue(
        holding: BudgetHolding,
        remainder: RemainingBudget,
        freeTokens: Long,
        holders: Int,
        now: MonotonicTime,
    ): Boolean {
        val isAmple = freeTokens > remainder.tokens * AMPLE_FREE_SHARE
        if (isAmple && !remainder.isTooSmallToDivide(holding.demandPerSecond(now))) return false
        return holding.availableTokens > desiredTokens(holding, remainder, holders, now) * RETURN_SHARE
    }

    /** Tokens that a router asks for before its first request of a customer, so that the request need not wait. */
    public fun initialGrantTokens(prepaidTokens: Long, holders: Int): Long =
        minOf((prepaidTokens * PRIMED_SHARE / holders.coerceAtLeast(1)).toLong(), minimumTokens)

    /**
     * The grant that [holder] should have in all, given the store's [allocation] and [prepaidTokens]. It never raises
     * the sum above [prepaidTokens], and leaves the other [holders] their part of what is free, except that
     * [neededTokens] of an open request go first.
     */
    public fun grantFor(
        holder: Incarnation,
        holding: BudgetHolding,
        allocation: BudgetAllocation,
        prepaidTokens: Long,
        remainder: RemainingBudget,
        holders: Int,
        neededTokens: Long,
        now: MonotonicTime,
    ): Long {
        val granted = allocation.grantOf(holder)
        val free = prepaidTokens - allocation.allocatedTokens
        val wanted = maxOf(desiredTokens(holding, remainder, holders, now), neededTokens)
        val missing = wanted - (granted - holding.committedTokens)
        if (missing <= 0 || free <= 0) return (granted + minOf(missing, 0L)).coerceAtLeast(holding.committedTokens)
        val fairPart = (free * FAIR_PART_FACTOR / holders.coerceAtLeast(1)).toLong()
        return granted + minOf(missing, maxOf(fairPart, neededTokens), free)
    }

    public companion object {
        /** The longest cut from the store on the users' days is 12 s. */
        public const val DEFAULT_COVER_MILLISECONDS: Long = 15_000

        /** Arrivals of one customer at one router vary; where one runs short, others lend. */
        public const val DEFAULT_HEADROOM: Double = 1.2

        /** A few requests of the largest kind at their mean size, since a customer's demand at one router is uneven. */
        public const val DEFAULT_MINIMUM_TOKENS: Long = 50_000

        private const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Asking at this share of the aim leaves seconds for the answer, and keeps changes rare. */
        private const val REFILL_SHARE = 0.5

        /** Smallest holdings of all holders together take at most half of what is left. */
        private const val MINIMUM_DIVISOR = 2

        /** With this share of what is left unallocated, a router in need finds tokens in the store. */
        private const val AMPLE_FREE_SHARE = 0.15

        /** The share of a budget that is divided before there is any demand. */
        private const val PRIMED_SHARE = 0.3

        /** Returning only well above the aim keeps grants from going back and forth. */
        private const val RETURN_SHARE = 1.4

        /** Demand is uneven between routers, so one may take more than an equal part of what is free. */
        private const val FAIR_PART_FACTOR = 2.0
    }
}
