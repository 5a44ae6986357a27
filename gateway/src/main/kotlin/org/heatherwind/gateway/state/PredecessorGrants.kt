package org.heatherwind.gateway.state

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.loggingFailures

/** Closes the grants of predecessors on this instance, once they are fenced and can no longer report. */
internal class PredecessorGrants(
    private val self: Incarnation,
    private val ledgers: BudgetLedgers,
    private val predecessorCharges: PredecessorCharges,
    private val log: DecisionLog,
    private val routers: () -> Int,
) {
    /** Closes the grants of all predecessors, and retries until none is left. */
    suspend fun closeAll() {
        var isDone = false
        while (!isDone) {
            log.loggingFailures("budget") {
                isDone = coroutineScope {
                    (0 until ledgers.partitions).map { async { closeInTurn(ledgers.at(it)) } }.awaitAll()
                }.all { it }
            }
            if (!isDone) delay(RETRY_PAUSE_MILLISECONDS)
        }
        predecessorCharges.clear()
    }

    /** Closes the grants in [ledger] after a random pause, since other routers may have started at the same time. */
    private suspend fun closeInTurn(ledger: LedgerPartition): Boolean {
        delay((routers() * SPREAD_PER_ROUTER_MILLISECONDS * Math.random()).toLong())
        return close(ledger)
    }

    private suspend fun close(ledger: LedgerPartition): Boolean {
        var closed = emptyMap<CustomerId, BudgetAllocation>()
        val update = ledger.update { allocations, _ ->
            closed = allocations.all()
                .mapValues { (customer, before) -> withPredecessorsClosed(customer, before) }
                .filter { (customer, after) -> after != allocations.of(customer) }
            if (closed.isEmpty()) LedgerPlan.Unchanged else LedgerPlan.Store(closed)
        }
        return when (update) {
            LedgerUpdate.Unchanged -> true

            LedgerUpdate.Stored -> {
                closed.forEach { (customer, allocation) -> logClosed(customer, allocation) }
                true
            }

            LedgerUpdate.Unread, LedgerUpdate.Conflicting -> false

            is LedgerUpdate.Unconfirmed -> {
                log.stateChange(
                    "budget",
                    "The store did not confirm the closing of predecessors' grants.",
                    "outcome" to update.append,
                )
                false
            }
        }
    }

    private fun withPredecessorsClosed(customer: CustomerId, allocation: BudgetAllocation): BudgetAllocation =
        allocation.grants.keys.filter { it.instance == self.instance && it != self }
            .fold(allocation) { current, process ->
                val charges = predecessorCharges.charges[process]
                current.withClosedGrant(
                    process,
                    if (charges == null) HolderCharge.unknown else charges[customer] ?: HolderCharge.none,
                )
            }

    private fun logClosed(customer: CustomerId, allocation: BudgetAllocation): Unit = log.stateChange(
        "budget",
        "Closed the grants of predecessors.",
        "customer" to customer.value,
        "chargedAtMost" to allocation.closedTokensAtMost,
        "chargedAtLeast" to allocation.closedTokensAtLeast,
        "allocated" to allocation.allocatedTokens,
    )

    private companion object {
        /** About the time that a partition needs for the closing append of one router. */
        const val SPREAD_PER_ROUTER_MILLISECONDS = 10L

        /** Pause after the store did not confirm the closing. */
        const val RETRY_PAUSE_MILLISECONDS = 60L
    }
}
