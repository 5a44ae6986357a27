package org.heatherwind.core.owner

import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.LedgerRecord

/** Accumulates the state and the ordered effects of one decision. */
internal class OwnerDraft(var state: OwnerState, val settings: OwnerSettings, val now: Timestamp) {
    val effects = ArrayList<OwnerEffect>(2)

    fun append(record: LedgerRecord) {
        effects += OwnerEffect.Append(record)
    }

    fun respond(reservation: ReservationId, response: ReserveResponse) {
        effects += OwnerEffect.RespondToReserve(reservation, response)
    }

    inline fun updateBudgetState(budget: BudgetId, change: OwnerBudgetState.() -> OwnerBudgetState) {
        val budgetState = state.budgetStates[budget] ?: OwnerBudgetState()
        state = state.copy(budgetStates = state.budgetStates.put(budget, budgetState.change()))
    }

    /** Returns whether a request with this [deadline] may be settled without a report from its entry router. */
    fun isOverdue(deadline: Timestamp): Boolean =
        now > deadline.plusMilliseconds(settings.interruptionGraceMilliseconds)

    fun decision(): OwnerDecision = OwnerDecision(state, effects)
}
