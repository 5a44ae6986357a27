package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.BudgetRemainder
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId

/** What customers have left in the whole fleet, as far as this router knows. */
internal class BudgetOutlook(
    private val ledgers: BudgetLedgers,
    private val known: KnownReports,
    private val customerOf: (CustomerId) -> Customer?,
) {
    /** Tokens that no router has promised to a request; the rest of the grants may come back. */
    fun uncommittedTokens(account: BudgetAccount): Long =
        tokensBesideClosed(account) - known.committedElsewhere(account.id, allocationOf(account))

    /** What the customer has left, by the last read of its allocation and the last reports of use. */
    fun remainderOf(account: BudgetAccount) = BudgetRemainder(
        tokens = tokensBesideClosed(account) - known.usedElsewhere(account.id, allocationOf(account)),
        demandElsewherePerSecond = known.demandElsewhere(account.id),
    )

    /** Prepaid tokens without what closed grants were charged and what this router committed. */
    private fun tokensBesideClosed(account: BudgetAccount): Long {
        val prepaid = customerOf(account.id)?.prepaidTokens ?: 0
        return prepaid - allocationOf(account).closedTokens - account.holding.committedTokens
    }

    /** Tokens that no grant holds, by the last read. */
    fun freeTokens(account: BudgetAccount): Long =
        (customerOf(account.id)?.prepaidTokens ?: 0) - allocationOf(account).allocatedTokens

    /** Tokens that were charged for certain, by the last reports and closed grants. */
    fun chargedAtLeast(account: BudgetAccount): Long {
        val allocation = allocationOf(account)
        return known.usedElsewhere(account.id, allocation) + account.holding.usedTokens +
            allocation.certainClosedTokens
    }

    private fun allocationOf(account: BudgetAccount): BudgetAllocation = ledgers.of(account.id).allocationOf(account.id)
}
