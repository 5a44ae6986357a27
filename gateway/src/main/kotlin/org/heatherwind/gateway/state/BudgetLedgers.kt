package org.heatherwind.gateway.state

import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamPartition

/** The partitions of the budgets in the [store], by customer. */
internal class BudgetLedgers(private val store: RecordStore, val partitions: Int) {
    private val ledgers = HashMap<Int, LedgerPartition>()

    /** The partition that holds [customer]. */
    fun of(customer: CustomerId): LedgerPartition = at(Rendezvous.partitionOf(customer.value, partitions))

    /** The partition numbered [index]. */
    fun at(index: Int): LedgerPartition =
        ledgers.getOrPut(index) { LedgerPartition(store, StreamPartition(STREAM, index)) }

    companion object {
        private const val STREAM = "budgets"

        /** Other routers change grants of the same partition; each conflict is read and tried anew. */
        const val MAXIMUM_CONFLICTS = 12
        private const val CONFLICT_PAUSE_MILLISECONDS = 6.0

        /** Milliseconds until a change that met a conflict is tried anew, spread so that routers do not meet again. */
        fun conflictPause(): Long = (CONFLICT_PAUSE_MILLISECONDS * (1 + Math.random())).toLong()
    }
}
