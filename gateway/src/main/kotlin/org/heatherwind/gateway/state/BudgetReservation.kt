package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.TokenSource

/** The worst case of one open request, charged as it is consumed. [source] is null where nothing is prepaid. */
internal class BudgetReservation(private val source: TokenSource?, private var openTokens: Long) {
    /** Charges [tokens], at most what is still open. */
    fun charge(tokens: Long) {
        val charged = tokens.coerceIn(0, openTokens)
        openTokens -= charged
        source?.charge(charged)
    }

    /** Gives up what was not charged. */
    fun end() {
        source?.release(openTokens)
        openTokens = 0
    }
}
