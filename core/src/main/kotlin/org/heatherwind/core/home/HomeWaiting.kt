package org.heatherwind.core.home

import kotlinx.collections.immutable.PersistentList
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.result.ResultCode

private data class ServableSplit(val servable: List<HomeEvent.Reserve>, val rest: PersistentList<HomeEvent.Reserve>)

internal fun HomeDraft.serveWaiting(budget: BudgetId) {
    val holding = state.holdings[budget] ?: return
    if (holding.waiting.isEmpty()) return
    val (servable, rest) = splitServable(budget, holding)
    changeHolding(budget) { copy(waiting = rest) }
    servable.forEach { admit(it) }
    refuseUncoverable(budget)
    val need = state.holdings[budget]?.waiting?.sumOf { it.tokens } ?: 0
    if (need > 0) want(budget, need)
}

private fun HomeDraft.splitServable(budget: BudgetId, holding: Holding): ServableSplit {
    var free = state.freeOf(budget)
    val servable = mutableListOf<HomeEvent.Reserve>()
    for (event in holding.waiting) {
        if (event.tokens > free) continue
        free -= event.tokens
        servable += event
    }
    return ServableSplit(servable, holding.waiting.removeAll(servable))
}

private fun HomeDraft.refuseUncoverable(budget: BudgetId) {
    val unspent = state.ledger.budgets[budget]?.unspent ?: 0
    refuseWaiting(budget, ResultCode.BUDGET_EXHAUSTED) { it.tokens > unspent }
}

private fun HomeDraft.refuseWaiting(
    budget: BudgetId,
    code: ResultCode,
    predicate: (HomeEvent.Reserve) -> Boolean,
) {
    val refused = state.holdings[budget]?.waiting?.filter(predicate).orEmpty()
    if (refused.isEmpty()) return
    changeHolding(budget) { copy(waiting = waiting.removeAll(refused)) }
    refused.forEach { answer(it.reservation, ReserveAnswer.Refused(code)) }
    withdrawIfIdle(budget)
}

internal fun HomeDraft.expireWaiting() {
    for ((budget, holding) in state.holdings) {
        if (holding.waiting.isEmpty()) continue
        refuseWaiting(budget, ResultCode.BUDGET_HELD_ELSEWHERE) { it.waitUntil <= now }
        serveWaiting(budget)
    }
}
