package org.heatherwind.core.owner

import kotlinx.collections.immutable.mutate
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.ledger.BudgetAccount
import org.heatherwind.core.ledger.GrantRequested
import org.heatherwind.core.ledger.GrantReturned

private const val SECONDS_PER_MINUTE = 60L

internal fun OwnerDraft.withdrawIfIdle(budget: BudgetId) {
    val holding = state.holdings[budget] ?: return
    if (holding.waiting.isNotEmpty() || holding.isGrantRequestPending) return
    val isUnmet = state.ledger.budgets[budget]?.pendingRequests?.containsKey(state.holder) ?: false
    if (isUnmet) appendWant(budget, wanted = 0, atLeast = 0)
}

internal fun OwnerDraft.want(budget: BudgetId, need: Long) {
    val holding = state.holdings.getValue(budget)
    val account = state.ledger.budgets[budget] ?: return
    val missing = (need - state.freeOf(budget)).coerceAtLeast(1)
    val smallest = holding.waiting.minOfOrNull { it.event.tokens } ?: need
    val atLeast = (smallest - state.freeOf(budget)).coerceAtLeast(1)
    val isStated = account.pendingRequests[state.holder]?.atLeast == atLeast && holding.waiting.all { it.isAsked }
    if (holding.isGrantRequestPending || isStated) return
    val target = GrantSizing.targetSize(account, state.holder, holding.demand, need, SizingPlan(settings, now))
    appendWant(budget, wanted = maxOf(missing, target - state.freeOf(budget)), atLeast = atLeast)
}

internal fun OwnerDraft.refillAhead(budget: BudgetId) {
    val account = state.ledger.budgets[budget] ?: return
    val holding = state.holdings[budget] ?: return
    if (holding.isGrantRequestPending || account.available <= 0) return
    val free = state.freeOf(budget)
    val horizon = holding.demand.tokensOver(settings.refillHorizonSeconds, now)
    if (!GrantSizing.isLow(free, horizon)) return
    val target = GrantSizing.targetSize(account, state.holder, holding.demand, need = 0, SizingPlan(settings, now))
    if (!GrantSizing.isLow(free, target)) return
    val wanted = minOf(target - free, account.available)
    if (wanted > 0) appendWant(budget, wanted = wanted, atLeast = 1)
}

private fun OwnerDraft.appendWant(budget: BudgetId, wanted: Long, atLeast: Long) {
    val demandPerMinute = state.holdings[budget]?.demand?.tokensOver(SECONDS_PER_MINUTE, now) ?: 0
    changeHolding(budget) {
        copy(
            isGrantRequestPending = true,
            waiting = waiting.mutate { asked -> asked.replaceAll { it.copy(isAsked = true) } },
        )
    }
    append(GrantRequested(budget, state.holder, wanted, atLeast, demandPerMinute))
}

internal fun OwnerDraft.giveBackSurplus(budget: BudgetId) {
    val account = state.ledger.budgets[budget] ?: return
    val elsewhere = account.wantedByOthers(state)
    if (elsewhere <= 0) return
    val holding = state.holdings[budget] ?: Holding()
    val free = state.freeOf(budget)
    val isBehindInLine = holding.waiting.isNotEmpty() && account.pendingRequests.keys.first() != state.holder
    val isFirstInLine = holding.waiting.isNotEmpty() && !isBehindInLine
    val surplus = when {
        isFirstInLine -> 0
        isBehindInLine || state.isDraining -> free
        else -> GrantSizing.surplus(free, elsewhere, holding.demand, SizingPlan(settings, now))
    }
    giveBack(budget, surplus)
}

private fun BudgetAccount.wantedByOthers(state: OwnerState): Long =
    pendingRequests.entries.filter { it.key != state.holder && it.value.atLeast <= unspent }.sumOf { it.value.atLeast }

private fun OwnerDraft.giveBack(budget: BudgetId, tokens: Long) {
    if (tokens <= 0) return
    changeHolding(budget) { copy(committed = committed + tokens) }
    append(GrantReturned(budget, state.holder, tokens))
}

internal fun OwnerDraft.drain() {
    state = state.copy(isDraining = true)
    giveBackAll()
}

internal fun OwnerDraft.giveBackAll() {
    state.ledger.budgets.keys.forEach { giveBack(it, state.freeOf(it)) }
}
