package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.BudgetHolding

/** The worst case of one open request, charged as it is consumed. [holding] is null where nothing is prepaid. */
internal class BudgetReservation(private val holding: BudgetHolding?, private var openTokens: Long) {
    /** Charges [tokens], at most what is still open. */
    fun charge(tokens: Long) {
        val charged = tokens.coerceIn(0, openTokens)
        openTokens -= charged
        holding?.charge(charged)
    }

    /** Gives up what was not charged. */
    fun end() {
        holding?.release(openTokens)
        openTokens = 0
    }
}
