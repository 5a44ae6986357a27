package org.heatherwind.core.owner

import kotlinx.collections.immutable.PersistentList
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.result.ResultCode

private data class ServableSplit(val servable: List<WaitingReserve>, val rest: PersistentList<WaitingReserve>)

internal fun OwnerDraft.serveWaiting(budget: BudgetId) {
    val holding = state.holdings[budget] ?: return
    if (holding.waiting.isEmpty()) return
    val (servable, rest) = splitServable(budget, holding)
    changeHolding(budget) { copy(waiting = rest) }
    servable.forEach { admit(it.event) }
    refuseUncoverable(budget)
    val need = state.holdings[budget]?.waiting?.sumOf { it.event.tokens } ?: 0
    if (need > 0) want(budget, need)
}

private fun OwnerDraft.splitServable(budget: BudgetId, holding: Holding): ServableSplit {
    var free = state.freeOf(budget)
    val servable = mutableListOf<WaitingReserve>()
    for (waiting in holding.waiting) {
        if (waiting.event.tokens > free) continue
        free -= waiting.event.tokens
        servable += waiting
    }
    return ServableSplit(servable, holding.waiting.removeAll(servable))
}

/** Refuses what the whole budget cannot cover, once the ledger here is known to be newer than the request. */
private fun OwnerDraft.refuseUncoverable(budget: BudgetId) {
    val unspent = state.ledger.budgets[budget]?.unspent ?: 0
    refuseWaiting(budget, ResultCode.BUDGET_EXHAUSTED) { it.isChecked && it.event.tokens > unspent }
}

private fun OwnerDraft.refuseWaiting(budget: BudgetId, code: ResultCode, predicate: (WaitingReserve) -> Boolean) {
    val refused = state.holdings[budget]?.waiting?.filter(predicate).orEmpty()
    if (refused.isEmpty()) return
    changeHolding(budget) { copy(waiting = waiting.removeAll(refused)) }
    refused.forEach { answer(it.event.reservation, ReserveAnswer.Refused(code)) }
    withdrawIfIdle(budget)
}

internal fun OwnerDraft.expireWaiting() {
    for ((budget, holding) in state.holdings) {
        if (holding.waiting.isEmpty()) continue
        refuseWaiting(budget, ResultCode.BUDGET_HELD_ELSEWHERE) { it.event.waitUntil <= now }
        serveWaiting(budget)
    }
}
