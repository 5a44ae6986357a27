package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.BudgetAccount

/** How many tokens a holder asks for, keeps and gives back. All sizes are tokens. */
internal object GrantSizing {
    private const val SECONDS_PER_MINUTE = 60L
    private const val LOW_WATER_DIVISOR = 2

    /** The size that the grant of [holder] should have: its demand's share, and no more than the horizon needs. */
    fun targetSize(
        account: BudgetAccount,
        holder: Incarnation,
        demand: DemandForecast,
        need: Long,
        plan: SizingPlan,
    ): Long {
        val horizon = demand.tokensOver(plan.settings.refillHorizonSeconds, plan.now)
        return maxOf(need, minOf(horizon, fairShare(account, holder, demand, plan.now)))
    }

    /** Whether a grant with [free] tokens should grow ahead of use. */
    fun isLow(free: Long, target: Long): Boolean = free < target / LOW_WATER_DIVISOR

    /** Idle tokens that go back when others wait for [wantedElsewhere]. */
    fun surplus(free: Long, wantedElsewhere: Long, demand: DemandForecast, plan: SizingPlan): Long {
        val keep = demand.tokensOver(plan.settings.keepHorizonSeconds, plan.now)
        val idle = maxOf(free - keep, free / 2)
        return minOf(idle, wantedElsewhere).coerceAtLeast(0)
    }

    private fun fairShare(account: BudgetAccount, holder: Incarnation, demand: DemandForecast, now: Timestamp): Long {
        val own = maxOf(demand.tokensOver(SECONDS_PER_MINUTE, now), 1)
        val others = account.demand.entries.filter {
            it.key != holder && it.key in account.remaining
        }.sumOf { it.value }
        return (account.unspent.toDouble() * own / (own + others)).toLong()
    }
}

/** What sizing depends on besides the budget. */
internal data class SizingPlan(val settings: OwnerSettings, val now: Timestamp)
