package org.heatherwind.gateway.serve

import org.heatherwind.core.work.TokenDemand
import org.heatherwind.gateway.state.BudgetReservation

/** Charges a generation to its customer: the prompt once, with the first event, and the tokens of each event. */
internal class TokenMeter(
    private val reservation: BudgetReservation,
    private val demand: TokenDemand,
    private val tokensPerEvent: Int,
) {
    private var outputTokens = 0L
    private var isPromptCharged = false

    /** Charges one event that is forwarded, up to the maximum output of the request. */
    fun recordEvent() {
        chargePrompt()
        val charged = minOf(tokensPerEvent.toLong(), demand.maximumOutput - outputTokens)
        outputTokens += charged
        reservation.charge(charged)
    }

    /** Ends the reservation. The prompt is charged even without an event if a target [mayHaveRun] the request. */
    fun end(mayHaveRun: Boolean) {
        if (mayHaveRun) chargePrompt()
        reservation.end()
    }

    private fun chargePrompt() {
        if (isPromptCharged) return
        isPromptCharged = true
        reservation.charge(demand.prompt)
    }
}
