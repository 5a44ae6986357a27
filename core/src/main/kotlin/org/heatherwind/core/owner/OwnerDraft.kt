package org.heatherwind.core.owner

import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.LedgerRecord

/** One decision in the making: the state so far and the effects so far, in order. */
internal class OwnerDraft(var state: OwnerState, val settings: OwnerSettings, val now: Timestamp) {
    val effects = ArrayList<OwnerEffect>(2)

    fun append(record: LedgerRecord) {
        effects += OwnerEffect.Append(record)
    }

    fun answer(reservation: ReservationId, answer: ReserveAnswer) {
        effects += OwnerEffect.AnswerReserve(reservation, answer)
    }

    inline fun changeHolding(budget: BudgetId, change: Holding.() -> Holding) {
        val holding = state.holdings[budget] ?: Holding()
        state = state.copy(holdings = state.holdings.put(budget, holding.change()))
    }

    /** Whether a request with this [deadline] can be settled without its entry. */
    fun isOverdue(deadline: Timestamp): Boolean =
        now > deadline.plusMilliseconds(settings.interruptionGraceMilliseconds)

    fun decision(): OwnerDecision = OwnerDecision(state, effects)
}
