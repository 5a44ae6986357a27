package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.BudgetHolding

/**
 * The reserved worst case of one request, charged as tokens are consumed.
 *
 * @param holding the holding that the tokens were reserved from, or null if the customer has no prepaid budget
 * @param unchargedTokens reserved tokens that are not charged yet
 */
internal class BudgetReservation(private val holding: BudgetHolding?, private var unchargedTokens: Long) {
    /** Charges [tokens], at most the remaining reservation. */
    fun charge(tokens: Long) {
        val charged = tokens.coerceIn(0, unchargedTokens)
        unchargedTokens -= charged
        holding?.charge(charged)
    }

    /** Releases the tokens that were not charged. */
    fun end() {
        holding?.release(unchargedTokens)
        unchargedTokens = 0
    }
}
