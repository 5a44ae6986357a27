package org.heatherwind.gateway.state

import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamPartition

/** The partitions of the [store] that hold the allocations of budgets; each customer belongs to one. */
internal class BudgetLedgers(
    private val store: RecordStore,
    val partitions: Int,
    private val isLargeFleet: () -> Boolean,
) {
    private val ledgers = HashMap<Int, LedgerPartition>()

    /** The partition that holds the allocation of [customer]. */
    fun of(customer: CustomerId): LedgerPartition = at(Rendezvous.partitionOf(customer.value, partitions))

    /** The partition with the number [index], from 0. */
    fun at(index: Int): LedgerPartition =
        ledgers.getOrPut(index) { LedgerPartition(store, StreamPartition(STREAM, index), isLargeFleet) }

    companion object {
        private const val STREAM = "budgets"

        /** Attempts at one update; other routers update the same partition, and each conflict needs a new read. */
        const val MAXIMUM_ATTEMPTS = 12

        /** Attempts at an update that no request waits for; it is tried again later, when fewer routers update. */
        const val MAXIMUM_BACKGROUND_ATTEMPTS = 2

        /** About the time of one read and append, in which one of the conflicting routers stores its update. */
        private const val CONFLICT_PAUSE_MILLISECONDS = 6.0

        /**
         * Pause before an update that met its conflict number [attempt], from 0, is retried, with jitter so that
         * routers do not conflict again. It doubles with each conflict, up to the time that all [holders] need one
         * after another.
         */
        fun conflictPauseMilliseconds(attempt: Int, holders: Int, random: Double = Math.random()): Long {
            val spread = minOf(1 shl attempt.coerceAtMost(MAXIMUM_DOUBLINGS), holders.coerceAtLeast(1))
            return (CONFLICT_PAUSE_MILLISECONDS * (1 + random * spread)).toLong()
        }

        /** Allows for holders in the hundreds. */
        private const val MAXIMUM_DOUBLINGS = 8
    }
}
