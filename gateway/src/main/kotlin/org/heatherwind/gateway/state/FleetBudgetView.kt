package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.RemainingBudget
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId

/** This router's view of what customers have left in the whole fleet, from the last reads of the store. */
internal class FleetBudgetView(
    private val peerReports: PeerReports,
    private val customerOf: (CustomerId) -> Customer?,
) {
    /** Tokens that no router has committed, by the last reported ceilings; those within grants may be returned. */
    fun uncommittedTokens(budget: CustomerBudget): Long =
        prepaidLessClosedAndCommitted(budget) - peerReports.committedElsewhere(budget.id, budget.allocation)

    /** The customer's remaining tokens and its demand elsewhere, by the last read allocation and the last reports. */
    fun remainingBudgetOf(budget: CustomerBudget) = RemainingBudget(
        tokens = prepaidLessClosedAndCommitted(budget) - peerReports.usedElsewhere(budget.id, budget.allocation),
        demandElsewherePerSecond = peerReports.demandElsewhere(budget.id),
    )

    /** Prepaid tokens less the charges on closed grants and the tokens that this router has committed. */
    private fun prepaidLessClosedAndCommitted(budget: CustomerBudget): Long {
        val prepaid = customerOf(budget.id)?.prepaidTokens ?: 0
        return prepaid - budget.allocation.closedTokensAtMost - budget.holding.committedTokens
    }

    /** Prepaid tokens that are not allocated, by the last read. */
    fun freeTokens(budget: CustomerBudget): Long =
        (customerOf(budget.id)?.prepaidTokens ?: 0) - budget.allocation.allocatedTokens

    /** Lower bound on the charged tokens, by the last reports and the closed grants. */
    fun chargedAtLeast(budget: CustomerBudget): Long {
        val allocation = budget.allocation
        return peerReports.usedElsewhere(budget.id, allocation) + budget.holding.usedTokens +
            allocation.closedTokensAtLeast
    }
}
