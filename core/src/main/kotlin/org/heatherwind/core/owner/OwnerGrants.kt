package org.heatherwind.core.owner

import kotlinx.collections.immutable.mutate
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.ledger.BudgetAccount
import org.heatherwind.core.ledger.GrantRequested
import org.heatherwind.core.ledger.GrantReturned

private const val SECONDS_PER_MINUTE = 60L

/** Withdraws the pending grant request for [budget] when no reservation waits for it. */
internal fun OwnerDraft.withdrawUnneededGrantRequest(budget: BudgetId) {
    val budgetState = state.budgetStates[budget] ?: return
    if (budgetState.waiting.isNotEmpty() || budgetState.hasUnreadGrantRequest) return
    val hasPendingGrantRequest = state.ledger.budgets[budget]?.pendingRequests?.containsKey(state.holder) ?: false
    if (hasPendingGrantRequest) appendGrantRequest(budget, wanted = 0, atLeast = 0)
}

/**
 * Requests tokens for the waiting reservations of [budget], which need [neededTokens] in total, unless an equivalent
 * request is already pending. The least acceptable grant covers the smallest waiting reservation.
 */
internal fun OwnerDraft.requestGrant(budget: BudgetId, neededTokens: Long) {
    val budgetState = state.budgetStates.getValue(budget)
    val account = state.ledger.budgets[budget] ?: return
    val missing = (neededTokens - state.freeTokens(budget)).coerceAtLeast(1)
    val smallest = budgetState.waiting.minOfOrNull { it.event.tokens } ?: neededTokens
    val atLeast = (smallest - state.freeTokens(budget)).coerceAtLeast(1)
    val isAlreadyRequested = account.pendingRequests[state.holder]?.atLeast == atLeast &&
        budgetState.waiting.all { it.isGrantRequestAppended }
    if (budgetState.hasUnreadGrantRequest || isAlreadyRequested) return
    val targetSize =
        GrantSizing.targetSize(account, state.holder, budgetState.demand, neededTokens, SizingContext(settings, now))
    appendGrantRequest(budget, wanted = maxOf(missing, targetSize - state.freeTokens(budget)), atLeast = atLeast)
}

/** Requests more available tokens when the grant for [budget] is low compared with its expected demand. */
internal fun OwnerDraft.requestRefill(budget: BudgetId) {
    val account = state.ledger.budgets[budget] ?: return
    val budgetState = state.budgetStates[budget] ?: return
    if (budgetState.hasUnreadGrantRequest || account.available <= 0) return
    val free = state.freeTokens(budget)
    val expectedDemand = budgetState.demand.tokensOver(settings.refillHorizonSeconds, now)
    if (!GrantSizing.isBelowLowWaterMark(free, expectedDemand)) return
    val context = SizingContext(settings, now)
    val targetSize =
        GrantSizing.targetSize(account, state.holder, budgetState.demand, neededTokens = 0, context)
    if (!GrantSizing.isBelowLowWaterMark(free, targetSize)) return
    val wanted = minOf(targetSize - free, account.available)
    if (wanted > 0) appendGrantRequest(budget, wanted = wanted, atLeast = 1)
}

private fun OwnerDraft.appendGrantRequest(budget: BudgetId, wanted: Long, atLeast: Long) {
    val demandPerMinute = state.budgetStates[budget]?.demand?.tokensOver(SECONDS_PER_MINUTE, now) ?: 0
    updateBudgetState(budget) {
        copy(
            hasUnreadGrantRequest = true,
            waiting = waiting.mutate { reservations ->
                reservations.replaceAll { it.copy(isGrantRequestAppended = true) }
            },
        )
    }
    append(GrantRequested(budget, state.holder, wanted, atLeast, demandPerMinute))
}

/**
 * Returns free tokens of [budget] that other holders have requested. A holder at the head of the queue returns nothing;
 * one that waits behind it, or that is draining, returns all free tokens.
 */
internal fun OwnerDraft.returnSurplus(budget: BudgetId) {
    val account = state.ledger.budgets[budget] ?: return
    val requestedByOthers = account.requestedByOthers(state)
    if (requestedByOthers <= 0) return
    val budgetState = state.budgetStates[budget] ?: OwnerBudgetState()
    val free = state.freeTokens(budget)
    val isBehindHeadOfQueue = budgetState.waiting.isNotEmpty() && account.pendingRequests.keys.first() != state.holder
    val isHeadOfQueue = budgetState.waiting.isNotEmpty() && !isBehindHeadOfQueue
    val surplus = when {
        isHeadOfQueue -> 0
        isBehindHeadOfQueue || state.isDraining -> free
        else -> GrantSizing.surplus(free, requestedByOthers, budgetState.demand, SizingContext(settings, now))
    }
    returnTokens(budget, surplus)
}

private fun BudgetAccount.requestedByOthers(state: OwnerState): Long =
    pendingRequests.entries.filter { it.key != state.holder && it.value.atLeast <= unspent }.sumOf { it.value.atLeast }

private fun OwnerDraft.returnTokens(budget: BudgetId, tokens: Long) {
    if (tokens <= 0) return
    updateBudgetState(budget) { copy(committed = committed + tokens) }
    append(GrantReturned(budget, state.holder, tokens))
}

internal fun OwnerDraft.drain() {
    state = state.copy(isDraining = true)
    returnFreeTokens()
}

internal fun OwnerDraft.returnFreeTokens() {
    state.ledger.budgets.keys.forEach { returnTokens(it, state.freeTokens(it)) }
}
