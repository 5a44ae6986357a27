package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.RemainingBudget
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId

/** What customers have left in the whole fleet, as far as this router knows. */
internal class FleetBudgetView(
    private val peerReports: PeerReports,
    private val customerOf: (CustomerId) -> Customer?,
) {
    /** Tokens that no router has promised to a request; the rest of the grants may come back. */
    fun uncommittedTokens(account: CustomerBudget): Long =
        tokensBesideClosed(account) - peerReports.committedElsewhere(account.id, account.allocation)

    /** What the customer has left, by the last read of its allocation and the last reports of use. */
    fun remainderOf(account: CustomerBudget) = RemainingBudget(
        tokens = tokensBesideClosed(account) - peerReports.usedElsewhere(account.id, account.allocation),
        demandElsewherePerSecond = peerReports.demandElsewhere(account.id),
    )

    /** Prepaid tokens without what closed grants were charged and what this router committed. */
    private fun tokensBesideClosed(account: CustomerBudget): Long {
        val prepaid = customerOf(account.id)?.prepaidTokens ?: 0
        return prepaid - account.allocation.closedTokens - account.holding.committedTokens
    }

    /** Tokens that no grant holds, by the last read. */
    fun freeTokens(account: CustomerBudget): Long =
        (customerOf(account.id)?.prepaidTokens ?: 0) - account.allocation.allocatedTokens

    /** Tokens that were charged for certain, by the last reports and closed grants. */
    fun chargedAtLeast(account: CustomerBudget): Long {
        val allocation = account.allocation
        return peerReports.usedElsewhere(account.id, allocation) + account.holding.usedTokens +
            allocation.certainClosedTokens
    }
}
