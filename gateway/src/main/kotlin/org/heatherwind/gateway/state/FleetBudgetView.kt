package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.RemainingBudget
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId

/** This router's view of the remaining budgets in the whole fleet, from the last reads of the store. */
internal class FleetBudgetView(
    private val peerReports: PeerReports,
    private val customerOf: (CustomerId) -> Customer?,
) {
    /** Tokens that no router has committed, as of the last reported ceilings; holders may return those in grants. */
    fun uncommittedTokens(budget: CustomerBudget): Long =
        prepaidLessClosedAndCommitted(budget) - peerReports.committedElsewhere(budget.id, budget.allocation)

    /** The customer's remaining tokens and its demand elsewhere, as of the last read allocation and reports. */
    fun remainingBudgetOf(budget: CustomerBudget) = RemainingBudget(
        tokens = prepaidLessClosedAndCommitted(budget) - peerReports.usedElsewhere(budget.id, budget.allocation),
        demandElsewherePerSecond = peerReports.demandElsewhere(budget.id, budget.allocation),
        routers = peerReports.liveCount(),
        prepaidTokens = customerOf(budget.id)?.prepaidTokens ?: Long.MAX_VALUE,
    )

    /** Prepaid tokens less the charges on closed grants and the tokens that this router has committed. */
    private fun prepaidLessClosedAndCommitted(budget: CustomerBudget): Long {
        val prepaid = customerOf(budget.id)?.prepaidTokens ?: 0
        return prepaid - budget.allocation.closedTokensAtMost - budget.holding.committedTokens
    }

    /** Prepaid tokens that are not allocated, as of the last read. */
    fun freeTokens(budget: CustomerBudget): Long =
        (customerOf(budget.id)?.prepaidTokens ?: 0) - budget.allocation.allocatedTokens

    /** Lower bound on the charged tokens, from the last reports and the charges on closed grants. */
    fun chargedAtLeast(budget: CustomerBudget): Long {
        val allocation = budget.allocation
        return peerReports.usedElsewhere(budget.id, allocation) + budget.holding.usedTokens +
            allocation.closedTokensAtLeast
    }
}
