package org.heatherwind.gateway.state

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.telemetry.DecisionLog

/** Frees what earlier processes on this instance held, once they can no longer report. */
internal class PredecessorGrants(
    private val self: Incarnation,
    private val ledgers: BudgetLedgers,
    private val predecessorCharges: PredecessorCharges,
    private val log: DecisionLog,
) {
    /** Closes the grants of earlier processes on this instance, until none is left. */
    suspend fun closeAll() {
        var isDone = false
        while (!isDone) {
            isDone = coroutineScope { (0 until ledgers.partitions).map { async { close(ledgers.at(it)) } }.awaitAll() }
                .all { it }
            if (!isDone) delay(RETRY_PAUSE_MILLISECONDS)
        }
        predecessorCharges.clear()
    }

    private suspend fun close(ledger: LedgerPartition): Boolean {
        repeat(BudgetLedgers.MAXIMUM_CONFLICTS) {
            if (!ledger.isCurrent && !ledger.refresh()) return false
            val closed = ledger.all().mapValues { (customer, before) -> closing(customer, before) }
                .filter { (customer, after) -> after != ledger.allocationOf(customer) }
            if (closed.isEmpty()) return true
            when (val append = ledger.append(closed)) {
                is StreamAppend.Appended -> {
                    closed.forEach { (customer, allocation) -> logClosed(customer, allocation) }
                    return true
                }

                is StreamAppend.Unknown, is StreamAppend.Rejected -> {
                    log.stateChange("budget", "Closing earlier grants was not confirmed.", "outcome" to append)
                    return false
                }

                StreamAppend.Conflict, is StreamAppend.OutOfSequence -> delay(BudgetLedgers.conflictPause())
            }
        }
        return false
    }

    private fun closing(customer: CustomerId, allocation: BudgetAllocation): BudgetAllocation =
        allocation.grants.keys.filter { it.instance == self.instance && it != self }.fold(allocation) { open, process ->
            val charges = predecessorCharges.charges[process]
            open.closing(process, if (charges == null) HolderCharge.unknown else charges[customer] ?: HolderCharge.none)
        }

    private fun logClosed(customer: CustomerId, allocation: BudgetAllocation): Unit = log.stateChange(
        "budget",
        "Closed the grants of earlier processes.",
        "customer" to customer.value,
        "chargedAtMost" to allocation.closedTokens,
        "chargedAtLeast" to allocation.certainClosedTokens,
        "allocated" to allocation.allocatedTokens,
    )

    private companion object {
        /** Pause after the store turned a change away. */
        const val RETRY_PAUSE_MILLISECONDS = 60L
    }
}
