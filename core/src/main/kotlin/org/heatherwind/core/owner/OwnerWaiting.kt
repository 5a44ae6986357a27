package org.heatherwind.core.owner

import kotlinx.collections.immutable.PersistentList
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.result.ResultCode

private data class WaitingSelection(
    val admissible: List<WaitingReservation>,
    val remaining: PersistentList<WaitingReservation>,
)

/**
 * Admits the waiting reservations of [budget] that its free tokens cover, refuses those that the whole budget cannot
 * cover, and requests tokens for the others.
 */
internal fun OwnerDraft.admitWaiting(budget: BudgetId) {
    val budgetState = state.budgetStates[budget] ?: return
    if (budgetState.waiting.isEmpty()) return
    val (admissible, remaining) = selectAdmissible(budget, budgetState)
    updateBudgetState(budget) { copy(waiting = remaining) }
    admissible.forEach { admit(it.event) }
    refuseExceedingBudget(budget)
    val neededTokens = state.budgetStates[budget]?.waiting?.sumOf { it.event.tokens } ?: 0
    if (neededTokens > 0) requestGrant(budget, neededTokens)
}

/**
 * Selects, oldest first, the reservations that the free tokens cover; one that is too large does not block smaller ones
 * after it.
 */
private fun OwnerDraft.selectAdmissible(budget: BudgetId, budgetState: OwnerBudgetState): WaitingSelection {
    var free = state.freeTokens(budget)
    val admissible = mutableListOf<WaitingReservation>()
    for (waiting in budgetState.waiting) {
        if (waiting.event.tokens > free) continue
        free -= waiting.event.tokens
        admissible += waiting
    }
    return WaitingSelection(admissible, budgetState.waiting.removeAll(admissible))
}

/**
 * Refuses reservations that exceed the unspent tokens of the budget, but only once the local ledger is known to be
 * newer than the reservation: an older one may lack a top-up.
 */
private fun OwnerDraft.refuseExceedingBudget(budget: BudgetId) {
    val unspent = state.ledger.budgets[budget]?.unspent ?: 0
    refuseWaiting(budget, ResultCode.BUDGET_EXHAUSTED) { it.isGrantRequestApplied && it.event.tokens > unspent }
}

private fun OwnerDraft.refuseWaiting(budget: BudgetId, code: ResultCode, predicate: (WaitingReservation) -> Boolean) {
    val refused = state.budgetStates[budget]?.waiting?.filter(predicate).orEmpty()
    if (refused.isEmpty()) return
    updateBudgetState(budget) { copy(waiting = waiting.removeAll(refused)) }
    refused.forEach { respond(it.event.reservation, ReserveResponse.Refused(code)) }
    withdrawUnneededGrantRequest(budget)
}

/** Refuses the reservations whose wait has ended, and tries to admit the others. */
internal fun OwnerDraft.expireWaiting() {
    for ((budget, budgetState) in state.budgetStates) {
        if (budgetState.waiting.isEmpty()) continue
        refuseWaiting(budget, ResultCode.BUDGET_HELD_ELSEWHERE) { it.event.waitUntil <= now }
        admitWaiting(budget)
    }
}
