package org.heatherwind.core.owner

import kotlinx.collections.immutable.mutate
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.ledger.BudgetAccount
import org.heatherwind.core.ledger.GrantRequested
import org.heatherwind.core.ledger.GrantReturned

private const val SECONDS_PER_MINUTE = 60L

/** Withdraws the pending grant request for [budget] when no reservation waits for it. */
internal fun OwnerDraft.withdrawUnneededGrantRequest(budget: BudgetId) {
    val holding = state.holdings[budget] ?: return
    if (holding.waiting.isNotEmpty() || holding.isGrantRequestPending) return
    val hasPendingGrantRequest = state.ledger.budgets[budget]?.pendingRequests?.containsKey(state.holder) ?: false
    if (hasPendingGrantRequest) appendGrantRequest(budget, wanted = 0, atLeast = 0)
}

/**
 * Requests tokens for the waiting reservations of [budget], which need [neededTokens] in total, unless an equivalent
 * request is already pending. The least acceptable grant covers the smallest waiting reservation.
 */
internal fun OwnerDraft.requestGrant(budget: BudgetId, neededTokens: Long) {
    val holding = state.holdings.getValue(budget)
    val account = state.ledger.budgets[budget] ?: return
    val missing = (neededTokens - state.freeTokens(budget)).coerceAtLeast(1)
    val smallest = holding.waiting.minOfOrNull { it.event.tokens } ?: neededTokens
    val atLeast = (smallest - state.freeTokens(budget)).coerceAtLeast(1)
    val isAlreadyRequested = account.pendingRequests[state.holder]?.atLeast == atLeast &&
        holding.waiting.all { it.isGrantRequestAppended }
    if (holding.isGrantRequestPending || isAlreadyRequested) return
    val targetSize =
        GrantSizing.targetSize(account, state.holder, holding.demand, neededTokens, SizingContext(settings, now))
    appendGrantRequest(budget, wanted = maxOf(missing, targetSize - state.freeTokens(budget)), atLeast = atLeast)
}

/** Requests more available tokens when the grant for [budget] is low compared with its expected demand. */
internal fun OwnerDraft.requestRefill(budget: BudgetId) {
    val account = state.ledger.budgets[budget] ?: return
    val holding = state.holdings[budget] ?: return
    if (holding.isGrantRequestPending || account.available <= 0) return
    val free = state.freeTokens(budget)
    val expectedDemand = holding.demand.tokensOver(settings.refillHorizonSeconds, now)
    if (!GrantSizing.isBelowLowWaterMark(free, expectedDemand)) return
    val targetSize =
        GrantSizing.targetSize(account, state.holder, holding.demand, neededTokens = 0, SizingContext(settings, now))
    if (!GrantSizing.isBelowLowWaterMark(free, targetSize)) return
    val wanted = minOf(targetSize - free, account.available)
    if (wanted > 0) appendGrantRequest(budget, wanted = wanted, atLeast = 1)
}

private fun OwnerDraft.appendGrantRequest(budget: BudgetId, wanted: Long, atLeast: Long) {
    val demandPerMinute = state.holdings[budget]?.demand?.tokensOver(SECONDS_PER_MINUTE, now) ?: 0
    updateHolding(budget) {
        copy(
            isGrantRequestPending = true,
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
    val holding = state.holdings[budget] ?: Holding()
    val free = state.freeTokens(budget)
    val isBehindHeadOfQueue = holding.waiting.isNotEmpty() && account.pendingRequests.keys.first() != state.holder
    val isHeadOfQueue = holding.waiting.isNotEmpty() && !isBehindHeadOfQueue
    val surplus = when {
        isHeadOfQueue -> 0
        isBehindHeadOfQueue || state.isDraining -> free
        else -> GrantSizing.surplus(free, requestedByOthers, holding.demand, SizingContext(settings, now))
    }
    returnTokens(budget, surplus)
}

private fun BudgetAccount.requestedByOthers(state: OwnerState): Long =
    pendingRequests.entries.filter { it.key != state.holder && it.value.atLeast <= unspent }.sumOf { it.value.atLeast }

private fun OwnerDraft.returnTokens(budget: BudgetId, tokens: Long) {
    if (tokens <= 0) return
    updateHolding(budget) { copy(committed = committed + tokens) }
    append(GrantReturned(budget, state.holder, tokens))
}

internal fun OwnerDraft.drain() {
    state = state.copy(isDraining = true)
    returnFreeTokens()
}

internal fun OwnerDraft.returnFreeTokens() {
    state.ledger.budgets.keys.forEach { returnTokens(it, state.freeTokens(it)) }
}
