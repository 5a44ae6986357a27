package org.heatherwind.core.home

import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.LedgerRecord

/** One decision in the making: the state so far and the effects so far, in order. */
internal class HomeDraft(var state: HomeState, val settings: HomeSettings, val now: Timestamp) {
    val effects = ArrayList<HomeEffect>(2)

    fun append(record: LedgerRecord) {
        effects += HomeEffect.Append(record)
    }

    fun answer(reservation: ReservationId, answer: ReserveAnswer) {
        effects += HomeEffect.AnswerReserve(reservation, answer)
    }

    inline fun changeHolding(budget: BudgetId, change: Holding.() -> Holding) {
        val holding = state.holdings[budget] ?: Holding()
        state = state.copy(holdings = state.holdings.put(budget, holding.change()))
    }

    /** Whether a request with this [deadline] can be settled without its entry. */
    fun isOverdue(deadline: Timestamp): Boolean =
        now > deadline.plusMilliseconds(settings.interruptionGraceMilliseconds)

    fun decision(): HomeDecision = HomeDecision(state, effects)
}
