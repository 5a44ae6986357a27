package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.BudgetAccount

/** Computes how many tokens a holder requests, retains and returns. All sizes are in tokens. */
internal object GrantSizing {
    private const val SECONDS_PER_MINUTE = 60L
    private const val LOW_WATER_MARK_DIVISOR = 2

    /**
     * Returns the target size of the grant of [holder]: its expected demand over the refill horizon, limited to its
     * fair share of the unspent budget, but at least [neededTokens].
     */
    fun targetSize(
        account: BudgetAccount,
        holder: Incarnation,
        demand: DemandForecast,
        neededTokens: Long,
        context: SizingContext,
    ): Long {
        val expectedDemand = demand.tokensOver(context.settings.refillHorizonSeconds, context.now)
        return maxOf(neededTokens, minOf(expectedDemand, fairShare(account, holder, demand, context.now)))
    }

    /** Returns whether a grant with [free] tokens is low enough to be refilled before it is used up. */
    fun isBelowLowWaterMark(free: Long, targetSize: Long): Boolean = free < targetSize / LOW_WATER_MARK_DIVISOR

    /**
     * Returns how many of the [free] tokens a holder returns while other holders wait for [requestedByOthers] tokens.
     * It retains its expected demand over the surplus horizon, but never more than half of the free tokens.
     */
    fun surplus(free: Long, requestedByOthers: Long, demand: DemandForecast, context: SizingContext): Long {
        val retained = demand.tokensOver(context.settings.surplusHorizonSeconds, context.now)
        val surplus = maxOf(free - retained, free / 2)
        return minOf(surplus, requestedByOthers).coerceAtLeast(0)
    }

    /** Returns the part of the unspent budget that is proportional to the holder's share of the total demand. */
    private fun fairShare(account: BudgetAccount, holder: Incarnation, demand: DemandForecast, now: Timestamp): Long {
        val ownDemand = maxOf(demand.tokensOver(SECONDS_PER_MINUTE, now), 1)
        val othersDemand = account.demand.entries.filter {
            it.key != holder && it.key in account.remaining
        }.sumOf { it.value }
        return (account.unspent.toDouble() * ownDemand / (ownDemand + othersDemand)).toLong()
    }
}

/** Inputs of the sizing that do not depend on the budget. */
internal data class SizingContext(val settings: OwnerSettings, val now: Timestamp)
