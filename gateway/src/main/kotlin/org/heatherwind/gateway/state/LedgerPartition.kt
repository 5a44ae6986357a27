package org.heatherwind.gateway.state

import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.gateway.document.BoundedJson
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead

/**
 * This router's copy of one partition of the budget ledger. One call to the store is in flight at a time, since the
 * answers of several could overtake each other; updates that wait meanwhile share the next append. Confined to the
 * event loop.
 */
internal class LedgerPartition(
    private val store: RecordStore,
    private val partition: StreamPartition,
    private val isLargeFleet: () -> Boolean,
) {
    private val allocations = HashMap<CustomerId, BudgetAllocation>()
    private var nextOffset: Long? = null

    /** Whether an update may be tried without a read. */
    private var isCurrent = false

    /**
     * Whether the last look found new records of other routers, so that an append without a read would fail, or null
     * until two looks can be compared.
     */
    private var isContended: Boolean? = null

    /** Completed when the process ends: updates pause no longer than they have to, and none waits for a long pause. */
    private val closing = CompletableDeferred<Unit>()

    private val callInFlight = Mutex()
    private val waiting = LinkedHashSet<PendingUpdate>()

    /** The allocation of [customer] as last read. */
    fun allocationOf(customer: CustomerId): BudgetAllocation = allocations[customer] ?: NO_ALLOCATION

    /**
     * Stores what [change] plans, on the condition that its last plan is based on the newest allocations. After
     * [attempts] conflicts with other routers, gives up. If the update [isClosing] a grant because the process ends,
     * this and all later pauses after conflicts are short.
     */
    suspend fun update(
        attempts: Int = BudgetLedgers.MAXIMUM_ATTEMPTS,
        isClosing: Boolean = false,
        change: LedgerChange,
    ): LedgerUpdate {
        if (isClosing) closing.complete(Unit)
        val update = PendingUpdate(change, attempts)
        waiting += update
        try {
            // Updates of other customers that begin at the same time share the append.
            yield()
            callInFlight.withLock { if (update.outcome == null) complete(waiting.toList()) }
            return checkNotNull(update.outcome) { "an update of $partition without an outcome" }
        } finally {
            waiting -= update
        }
    }

    /** Gives each of [updates] an outcome. */
    private suspend fun complete(updates: List<PendingUpdate>) {
        var isFresh = false
        repeat(updates.maxOf { it.attempts }) { attempt ->
            if (!isCurrent) {
                isFresh = refresh()
                if (!isFresh) return updates.end(LedgerUpdate.Unread)
            }
            var planned = plan(updates, isFresh)
            val isReadFirst = !isFresh && isReadNeeded()
            if (planned == null || (isReadFirst && planned.isNotEmpty())) {
                isFresh = refresh()
                if (!isFresh) return updates.end(LedgerUpdate.Unread)
                planned = plan(updates, isFresh = true)
            }
            if (planned.isNullOrEmpty()) return updates.end(LedgerUpdate.Unchanged)
            when (val append = append(planned)) {
                is StreamAppend.Appended -> return updates.end(LedgerUpdate.Stored)

                is StreamAppend.Rejected, is StreamAppend.Unknown ->
                    return updates.end(LedgerUpdate.Unconfirmed(append))

                StreamAppend.Conflict, is StreamAppend.OutOfSequence -> pauseAfterConflict(attempt)
            }
        }
        updates.end(LedgerUpdate.Conflicting)
    }

    private fun isReadNeeded(): Boolean = isContended ?: isLargeFleet()

    private suspend fun pauseAfterConflict(attempt: Int) {
        if (closing.isCompleted) {
            delay(BudgetLedgers.conflictPauseMilliseconds(attempt, holders = 1))
        } else {
            val pause = BudgetLedgers.conflictPauseMilliseconds(attempt, holderCount())
            withTimeoutOrNull(pause) { closing.await() }
        }
    }

    private fun List<PendingUpdate>.end(outcome: LedgerUpdate): Unit = forEach { it.outcome = it.outcome ?: outcome }

    /** Returns the allocations that [updates] store together, or null if one of them requires a read before. */
    private fun plan(updates: List<PendingUpdate>, isFresh: Boolean): Map<CustomerId, BudgetAllocation>? {
        val planned = HashMap<CustomerId, BudgetAllocation>()
        updates.filter { it.outcome == null }.forEach { update ->
            when (val plan = update.change.plan(LedgerView(allocations, planned), isFresh)) {
                is LedgerPlan.Store -> planned += plan.allocations
                LedgerPlan.Unchanged -> update.outcome = LedgerUpdate.Unchanged
                LedgerPlan.Read -> return null
            }
        }
        return planned
    }

    /** Reads the records added since the last read. Returns whether the copy is now current. */
    private suspend fun refresh(): Boolean {
        val knownOffset = nextOffset
        val from = knownOffset.takeUnless { holderCount() > MAXIMUM_HOLDERS_READ_INCREMENTALLY }
        val read = if (from == null) store.newest(partition) else store.read(partition, from)
        when (read) {
            is StreamRead.Records -> {
                read.records.forEach { apply(it) }
                if (knownOffset != null) isContended = read.nextOffset != knownOffset
                nextOffset = read.nextOffset
                isCurrent = true
            }

            StreamRead.Expired -> {
                nextOffset = null
                return refresh()
            }

            is StreamRead.Unavailable -> isCurrent = false
        }
        return isCurrent
    }

    /** The number of holders of the most divided allocation; most records of many are replaced before they are read. */
    private fun holderCount(): Int = allocations.values.maxOfOrNull { it.grants.size } ?: 0

    /** Appends [updated] on the condition that nothing was added to the partition since the last read. */
    private suspend fun append(updated: Map<CustomerId, BudgetAllocation>): StreamAppend {
        val expected = nextOffset ?: return StreamAppend.Conflict
        isCurrent = false
        val records = updated.map { (customer, allocation) -> NewRecord(customer.value, encode(allocation)) }
        val append = store.append(partition, records, AppendCondition.EndsAt(expected))
        if (append is StreamAppend.Appended) {
            allocations += updated
            nextOffset = append.endOffset
            isCurrent = true
        } else if (append is StreamAppend.Conflict) {
            isContended = true
        }
        return append
    }

    private fun apply(record: KeyedRecord) {
        val value = record.value ?: return
        allocations[CustomerId(record.key)] = decode(value)
    }

    private fun encode(allocation: BudgetAllocation): ByteArray = Json.encodeToString(
        AllocationRecord.serializer(),
        AllocationRecord(
            closedTokensAtMost = allocation.closedTokensAtMost,
            closedTokensAtLeast = allocation.closedTokensAtLeast,
            grants = allocation.grants.mapKeys { it.key.value },
        ),
    ).encodeToByteArray()

    private fun decode(value: ByteArray): BudgetAllocation {
        val record = BoundedJson.decode(AllocationRecord.serializer(), value.decodeToString())
        return BudgetAllocation(
            closedTokensAtMost = record.closedTokensAtMost,
            closedTokensAtLeast = record.closedTokensAtLeast,
            grants = record.grants.mapKeys { Incarnation(it.key) }.toPersistentHashMap(),
        )
    }

    /**
     * The stored form of a [BudgetAllocation].
     *
     * @property closedTokensAtMost upper bound on the tokens charged by holders whose grants are closed
     * @property closedTokensAtLeast lower bound on these tokens
     * @property grants tokens granted to each holder, by its incarnation
     */
    @Serializable
    private class AllocationRecord(
        @SerialName("closed") val closedTokensAtMost: Long,
        @SerialName("certain") val closedTokensAtLeast: Long,
        val grants: Map<String, Long>,
    )

    /** A [change] that waits for its [outcome]. */
    private class PendingUpdate(val change: LedgerChange, val attempts: Int) {
        var outcome: LedgerUpdate? = null
    }

    private companion object {
        val NO_ALLOCATION = BudgetAllocation()

        /** Above about this number, reading all added records costs more than reading the newest one of each key. */
        const val MAXIMUM_HOLDERS_READ_INCREMENTALLY = 16
    }
}
