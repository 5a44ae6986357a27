package org.heatherwind.gateway.serve

import org.heatherwind.core.work.TokenDemand
import org.heatherwind.gateway.state.BudgetReservation

/** Charges a generation to its customer: the prompt once, with the first event, and each event's tokens. */
internal class TokenMeter(
    private val reservation: BudgetReservation,
    private val demand: TokenDemand,
    private val tokensPerEvent: Int,
) {
    private var outputTokens = 0L
    private var isPromptCharged = false

    /** Charges one event that is passed on. */
    fun recordEvent() {
        chargePrompt()
        val charged = minOf(tokensPerEvent.toLong(), demand.maximumOutput - outputTokens)
        outputTokens += charged
        reservation.charge(charged)
    }

    /** Ends the generation. The prompt is charged also without an event where a target [mayHaveRun] it. */
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
