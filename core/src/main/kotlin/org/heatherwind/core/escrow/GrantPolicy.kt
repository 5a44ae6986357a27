package org.heatherwind.core.escrow

import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicTime

/**
 * A customer's remaining budget in the whole fleet, as estimated by this router.
 *
 * @property tokens prepaid tokens that no router has charged
 * @property demandElsewherePerSecond tokens requested per second at other routers
 * @property routers number of live routers, this one included
 * @property prepaidTokens tokens that were prepaid; where they are not known, few are taken to be left
 */
public data class RemainingBudget(
    val tokens: Long,
    val demandElsewherePerSecond: Double,
    val routers: Int = 1,
    val prepaidTokens: Long = Long.MAX_VALUE,
) {
    /** Whether reports follow each other so closely that requests hardly wait for them. */
    val isSmallFleet: Boolean get() = routers <= SMALL_FLEET_ROUTERS

    /** Returns the share of this router in the customer's demand, if [demandPerSecond] is requested here. */
    public fun demandShare(demandPerSecond: Double): Double =
        demandPerSecond / (demandPerSecond + demandElsewherePerSecond).coerceAtLeast(1.0)

    /** Returns how many seconds the tokens last at [demandPerSecond] of this router plus that of the others. */
    public fun secondsLeft(demandPerSecond: Double): Double =
        tokens / (demandPerSecond + demandElsewherePerSecond).coerceAtLeast(1.0)

    /** Returns whether the holders' shares would be smaller than a request, at [demandPerSecond] of this router. */
    public fun isTooSmallToDivide(demandPerSecond: Double): Boolean =
        secondsLeft(demandPerSecond) < MINIMUM_DIVISIBLE_SECONDS

    /**
     * Returns the tokens that the customer may lose by the failure of this router, where [demandPerSecond] is requested
     * here. While much is left in a large fleet, they cover the demand until the next report and one request of
     * [largestRequestTokens]. The shares of all routers add up to a fixed share of the remaining tokens, as far as the
     * demand of the others is known.
     */
    public fun lossAllowanceTokens(demandPerSecond: Double, largestRequestTokens: Long = 0): Long {
        val thrifty = thriftyLossAllowanceTokens(demandPerSecond)
        if (isSmallFleet) return thrifty
        val known = demandPerSecond + demandElsewherePerSecond
        val shareByDemand = if (known < 1.0) 0.0 else AMPLE_LOSS_SHARE_BY_DEMAND
        val share = shareByDemand * demandShare(demandPerSecond) + (AMPLE_LOSS_SHARE - shareByDemand) / routers
        val needed = demandPerSecond * MAXIMUM_LOSS_SECONDS +
            largestRequestTokens.coerceIn(LEAST_LARGE_REQUEST_TOKENS, GREATEST_LARGE_REQUEST_TOKENS)
        val ample = minOf(tokens.coerceAtLeast(0) * share, needed)
        return thrifty + ((ample - thrifty).coerceAtLeast(0.0) * plenty(demandPerSecond)).toLong()
    }

    /** Returns how much is left of a budget, from 0 for little to 1 for both a large part and many seconds. */
    private fun plenty(demandPerSecond: Double): Double {
        val shareLeft = tokens.toDouble() / prepaidTokens.coerceAtLeast(1)
        return minOf(
            (shareLeft - LITTLE_SHARE_LEFT) / (MUCH_SHARE_LEFT - LITTLE_SHARE_LEFT),
            (secondsLeft(demandPerSecond) - FEW_SECONDS_LEFT) / (MANY_SECONDS_LEFT - FEW_SECONDS_LEFT),
        ).coerceIn(0.0, 1.0)
    }

    /** Returns the tokens that the customer may lose by the failure of this router where little is left. */
    public fun thriftyLossAllowanceTokens(demandPerSecond: Double): Long {
        val total = tokens.coerceAtLeast(0)
        val lossShare = (LOSS_SHARE_BY_DEMAND + routers * LOSS_SHARE_PER_ROUTER).coerceAtMost(MAXIMUM_LOSS_SHARE)
        val byDemand = minOf(
            total * lossShare * demandShare(demandPerSecond),
            maxOf(demandPerSecond * MAXIMUM_LOSS_SECONDS, MAXIMUM_LOSS_TOKENS_BY_DEMAND),
        )
        val regardlessOfDemand =
            minOf(total * LOSS_SHARE_REGARDLESS_OF_DEMAND / routers.coerceAtLeast(1), MAXIMUM_LOSS_TOKENS)
        return maxOf(byDemand, regardlessOfDemand).toLong()
    }

    public companion object {
        /** Reports of so few routers follow each other within tens of milliseconds. */
        public const val SMALL_FLEET_ROUTERS: Int = 10

        /** Share of a budget that may be lost if all routers of a large fleet fail while much is left. */
        private const val AMPLE_LOSS_SHARE = 0.15

        /** Part of it that is divided by demand; each router has a part of the rest, for first requests. */
        private const val AMPLE_LOSS_SHARE_BY_DEMAND = 0.10

        /** Bounds on the request that the slack covers besides the demand; larger ones wait for a report. */
        private const val LEAST_LARGE_REQUEST_TOKENS = 20_000L
        private const val GREATEST_LARGE_REQUEST_TOKENS = 50_000L

        /** Below the first, what a failure loses would be missing soon; above the second, the rest outlasts it. */
        private const val LITTLE_SHARE_LEFT = 0.25
        private const val MUCH_SHARE_LEFT = 0.5
        private const val FEW_SECONDS_LEFT = 5.0
        private const val MANY_SECONDS_LEFT = 20.0

        /** If the tokens last for less than this, a holder's share does not cover one request. */
        private const val MINIMUM_DIVISIBLE_SECONDS = 2.0

        /**
         * Share of a budget that may be lost if all routers with demand fail at once. It rises with the fleet, whose
         * reports are further apart.
         */
        private const val LOSS_SHARE_BY_DEMAND = 0.01
        private const val LOSS_SHARE_PER_ROUTER = 0.00025
        private const val MAXIMUM_LOSS_SHARE = 0.04

        /** Share of a budget that may be lost if all routers fail at once, whether they have demand or not. */
        private const val LOSS_SHARE_REGARDLESS_OF_DEMAND = 0.01

        /** Covers the demand until the next report of a fleet of a hundred routers, or two large requests. */
        private const val MAXIMUM_LOSS_SECONDS = 1.5
        private const val MAXIMUM_LOSS_TOKENS_BY_DEMAND = 40_000.0

        /** About two requests of mean size in the class of the largest requests. */
        private const val MAXIMUM_LOSS_TOKENS = 20_000.0
    }
}

/**
 * Decides how much of a budget a router should hold.
 *
 * @property coverMilliseconds time for which a holding should cover the demand without the store
 * @property headroom factor on the demand that allows for uneven arrivals
 * @property minimumTokens lower bound on the desired tokens, within the holder's share of the remaining budget, and
 *   largest initial grant
 */
public data class GrantPolicy(
    val coverMilliseconds: Long = DEFAULT_COVER_MILLISECONDS,
    val headroom: Double = DEFAULT_HEADROOM,
    val minimumTokens: Long = DEFAULT_MINIMUM_TOKENS,
) {
    /**
     * Returns the tokens that [holding] should have available at [now]: enough for [coverMilliseconds], but at most its
     * share of the [remaining] budget. The last tokens are not divided in advance, since shares smaller than a request
     * are of no use to any of the [holders].
     */
    public fun desiredTokens(
        holding: BudgetHolding,
        remaining: RemainingBudget,
        holders: Int,
        now: MonotonicTime,
    ): Long {
        val demand = holding.demandPerSecond(now)
        if (remaining.isTooSmallToDivide(demand)) return 0
        val cover = demand * coverMilliseconds / MILLISECONDS_PER_SECOND * headroom
        val divisible = remaining.tokens.coerceAtLeast(0) * (1 - undividedShare(holders))
        val shareOfRemaining = divisible * remaining.demandShare(demand)
        val minimum = minOf(minimumTokens, remaining.tokens / (holders.coerceAtLeast(1) * MINIMUM_DIVISOR))
        return minOf(cover.toLong().coerceAtLeast(minimum), shareOfRemaining.toLong())
    }

    /**
     * Returns the share of the remaining tokens that is not divided in advance. The more [holders], the smaller each
     * part is in comparison with a large request, which then takes its tokens from this share.
     */
    private fun undividedShare(holders: Int): Double =
        ((holders - RemainingBudget.SMALL_FLEET_ROUTERS) * UNDIVIDED_SHARE_PER_HOLDER).coerceIn(
            0.0,
            MAXIMUM_UNDIVIDED_SHARE,
        )

    /** Returns whether [holding] should request more tokens now, before it runs out. */
    public fun isRefillDue(
        holding: BudgetHolding,
        remaining: RemainingBudget,
        holders: Int,
        now: MonotonicTime,
    ): Boolean = holding.availableTokens < desiredTokens(holding, remaining, holders, now) * REFILL_SHARE

    /**
     * Returns whether [holding] should return tokens because it holds many more than it needs. While the budget has
     * ample [freeTokens], no other router needs them, so the update of the grant is saved.
     */
    public fun isReturnDue(
        holding: BudgetHolding,
        remaining: RemainingBudget,
        freeTokens: Long,
        holders: Int,
        now: MonotonicTime,
    ): Boolean {
        val isAmple = freeTokens > remaining.tokens * AMPLE_FREE_SHARE
        if (isAmple && !remaining.isTooSmallToDivide(holding.demandPerSecond(now))) return false
        return holding.availableTokens > desiredTokens(holding, remaining, holders, now) * RETURN_FACTOR
    }

    /**
     * Returns those of [customers] for which each of [routers] requests a grant before the first request: all in a
     * small fleet, the ones with the largest budgets in a large one, where most customers reach only some routers and
     * each grant of each router is an update of the store.
     */
    public fun initialGrantCustomers(customers: List<Customer>, routers: Int): List<Customer> = customers
        .filter { it.prepaidTokens != null }
        .sortedByDescending { it.prepaidTokens }
        .take((MAXIMUM_INITIAL_GRANTS_OF_FLEET / routers.coerceAtLeast(1)).coerceAtMost(MAXIMUM_INITIAL_GRANTS))

    /** Returns the tokens to request before a customer's first request, so that it need not wait for a grant. */
    public fun initialGrantTokens(prepaidTokens: Long, holders: Int): Long =
        minOf((prepaidTokens * INITIAL_GRANT_SHARE / holders.coerceAtLeast(1)).toLong(), minimumTokens)

    /**
     * Returns the total grant that [holder] should have, given the store's [allocation] and [prepaidTokens]. It never
     * raises the allocated tokens above [prepaidTokens], and leaves the other [holders] their share of the free tokens
     * by demand, except that [neededTokens] of a waiting request take precedence.
     */
    public fun grantFor(
        holder: Incarnation,
        holding: BudgetHolding,
        allocation: BudgetAllocation,
        prepaidTokens: Long,
        remaining: RemainingBudget,
        holders: Int,
        neededTokens: Long,
        now: MonotonicTime,
    ): Long {
        val granted = allocation.grantOf(holder)
        val free = prepaidTokens - allocation.allocatedTokens
        val desired = maxOf(desiredTokens(holding, remaining, holders, now), neededTokens)
        val missing = desired - (granted - holding.committedTokens)
        if (missing <= 0 || free <= 0) return (granted + minOf(missing, 0L)).coerceAtLeast(holding.committedTokens)
        val demandShare = remaining.demandShare(holding.demandPerSecond(now))
        val share = maxOf(FAIR_SHARE_FACTOR / holders.coerceAtLeast(1), demandShare)
        val fairShare = (free * share.coerceAtMost(1.0)).toLong()
        val added = minOf(missing, maxOf(fairShare, neededTokens), free)
        val isWorthwhile = neededTokens > 0 || added >= desired * MINIMUM_STEP_SHARE
        return if (isWorthwhile) granted + added else granted
    }

    public companion object {
        /** Covers store outages, which last up to 12 s. */
        public const val DEFAULT_COVER_MILLISECONDS: Long = 15_000

        /** Allows for uneven arrivals of a customer; a router that needs still more requests a quota transfer. */
        public const val DEFAULT_HEADROOM: Double = 1.2

        /**
         * A few requests of mean size in the class of the largest requests, since a customer's demand at one router is
         * uneven.
         */
        public const val DEFAULT_MINIMUM_TOKENS: Long = 50_000

        private const val MILLISECONDS_PER_SECOND = 1_000.0

        /** A refill at this share of the desired tokens leaves seconds for the response and limits the updates. */
        private const val REFILL_SHARE = 0.5

        /** The minimum holdings of all holders together take at most half of the remaining tokens. */
        private const val MINIMUM_DIVISOR = 2

        /** While this share of the remaining tokens is free, a router that needs more can be granted them. */
        private const val AMPLE_FREE_SHARE = 0.15

        /** Leaves a few large requests of the last tokens in a fleet of eighty. */
        private const val UNDIVIDED_SHARE_PER_HOLDER = 0.005

        /** Leaves more than half of the remaining tokens where the demand is, for times without the store. */
        private const val MAXIMUM_UNDIVIDED_SHARE = 0.4

        /** Number of initial grants of one router; further customers' first requests wait for their grants. */
        private const val MAXIMUM_INITIAL_GRANTS = 64

        /** Limits the updates at the start of a large fleet, which conflict on the store's partitions. */
        private const val MAXIMUM_INITIAL_GRANTS_OF_FLEET = 1_200

        /** Share of a budget that all initial grants together may take. */
        private const val INITIAL_GRANT_SHARE = 0.3

        /** A refill that adds less than this share of the desired tokens is not worth an update of the store. */
        private const val MINIMUM_STEP_SHARE = 0.1

        /** Hysteresis: tokens are returned only well above the desired number, so that grants do not oscillate. */
        private const val RETURN_FACTOR = 1.4

        /** Demand is uneven between routers, so one may take more than an equal share of the free tokens. */
        private const val FAIR_SHARE_FACTOR = 2.0
    }
}
