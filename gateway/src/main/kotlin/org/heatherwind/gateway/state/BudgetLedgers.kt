package org.heatherwind.gateway.state

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.loggingFailures

/** The partitions of the [store] that hold the allocations of budgets; each customer belongs to one. */
internal class BudgetLedgers(
    private val store: RecordStore,
    val partitions: Int,
    private val self: Incarnation,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val isLargeFleet: () -> Boolean,
) {
    private val ledgers = HashMap<Int, LedgerPartition>()

    /** The partition that holds the allocation of [customer]. */
    fun of(customer: CustomerId): LedgerPartition = at(Rendezvous.partitionOf(customer.value, partitions))

    /** The partition with the number [index], from 0. */
    fun at(index: Int): LedgerPartition = ledgers.getOrPut(index) {
        LedgerPartition(store, StreamPartition(STREAM, index), self, clock, log, isLargeFleet)
    }

    /**
     * Stores again what the store, which came back from a copy, lacks of the allocations known here. The [routers] of
     * the fleet spread what they store over time.
     */
    suspend fun storeAgain(routers: Int): Unit = coroutineScope {
        ledgers.values.toList().forEach { ledger ->
            launch {
                delay((routers * RESTORE_SPREAD_PER_ROUTER_MILLISECONDS * Math.random()).toLong())
                var attempts = 0
                var isDone = false
                while (!isDone && attempts++ < MAXIMUM_RESTORE_ATTEMPTS) {
                    log.loggingFailures("budget") { isDone = ledger.storeAgain() in FINAL_UPDATES && ledger.isWhole }
                    if (!isDone) delay(RESTORE_PAUSE_MILLISECONDS)
                }
            }
        }
    }

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

        /** Routers notice a return of the store within a second, and each appends once to each partition. */
        private const val RESTORE_SPREAD_PER_ROUTER_MILLISECONDS = 20L
        private const val RESTORE_PAUSE_MILLISECONDS = 100L
        private const val MAXIMUM_RESTORE_ATTEMPTS = 50
        private val FINAL_UPDATES = setOf(LedgerUpdate.Stored, LedgerUpdate.Unchanged)

        /** Allows for holders in the hundreds. */
        private const val MAXIMUM_DOUBLINGS = 8
    }
}
