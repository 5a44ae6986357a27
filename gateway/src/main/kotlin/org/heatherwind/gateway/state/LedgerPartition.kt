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
import org.heatherwind.core.escrow.AllocationVersion
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.VersionedAllocation
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.document.BoundedJson
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StoreEra
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog

/**
 * This router's copy of one partition of the budget ledger. One call to the store is in flight at a time, since the
 * answers of several could overtake each other; updates that wait meanwhile share the next append. Confined to the
 * event loop.
 */
internal class LedgerPartition(
    private val store: RecordStore,
    private val partition: StreamPartition,
    private val self: Incarnation,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val isLargeFleet: () -> Boolean,
) {
    private val allocations = HashMap<CustomerId, BudgetAllocation>()
    private val versions = HashMap<CustomerId, AllocationVersion>()

    /** Customers whose allocation here contains more than what the store has, which came back from a copy. */
    private val unstored = HashSet<CustomerId>()
    private var nextOffset: Long? = null

    /** The era of [nextOffset], or null until the first read. */
    private var era: StoreEra? = null
    private var restoredAt = MonotonicTime.distantPast

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
     * Returns whether the store came back from a copy less than [milliseconds] before [now], so that grants that it
     * lacks may not have been stored again by the routers that hold them.
     */
    fun isSettling(now: MonotonicTime, milliseconds: Long): Boolean = now < restoredAt.plusMilliseconds(milliseconds)

    /** Whether the store has all that is known here, as of the last read. */
    val isWhole: Boolean get() = unstored.isEmpty()

    /** Stores what the store lacks of the allocations that were known before it came back from a copy. */
    suspend fun storeAgain(): LedgerUpdate = update { _, isFresh ->
        if (isFresh) LedgerPlan.Store(emptyMap()) else LedgerPlan.Read
    }

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
            val stored = unstored.take(MAXIMUM_STORED_AGAIN).associateWith { allocationOf(it) } + planned.orEmpty()
            if (stored.isEmpty()) return updates.end(LedgerUpdate.Unchanged)
            when (val append = append(stored)) {
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
                if (from != null && read.era != era) {
                    nextOffset = null
                    return refresh()
                }
                beginEra(read.era)
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
        val currentEra = numberOf(era)
        val stored = updated.mapValues { (customer, allocation) ->
            VersionedAllocation(allocation, versionOf(customer).next(currentEra))
        }
        val records = stored.map { (customer, state) -> NewRecord(customer.value, encode(state)) }
        val append = store.append(partition, records, AppendCondition.EndsAt(expected))
        if (append is StreamAppend.Appended) {
            // The offset was given out again: what the plan was based on may be lost.
            if (append.era != era && append.era != StoreEra.Unstated) {
                return StreamAppend.Unknown("stored in the era ${append.era} instead of $era")
            }
            stored.forEach { (customer, state) -> adopt(customer, state) }
            unstored -= stored.keys
            nextOffset = append.endOffset
            isCurrent = true
        } else if (append is StreamAppend.Conflict) {
            isContended = true
        }
        return append
    }

    /** Notes the era of a read. In another one than before, what is known has to be compared with what is stored. */
    private fun beginEra(current: StoreEra) {
        val known = era
        era = current
        if (known == null || known == current) return
        restoredAt = clock.now()
        unstored += allocations.keys
        log.stateChange(
            "budget",
            "The store came back from a copy; comparing allocations.",
            "partition" to partition,
            "knownEra" to known,
            "era" to current,
            "customers" to allocations.size,
        )
    }

    private fun apply(record: KeyedRecord) {
        val value = record.value ?: return
        val customer = CustomerId(record.key)
        val read = decode(value)
        val known = allocations[customer]?.let { VersionedAllocation(it, versionOf(customer)) }
        val state = known?.let { mergedWith(it, read, isKnownStored = customer !in unstored) } ?: read
        adopt(customer, state)
        if (state == read) unstored -= customer else unstored += customer
    }

    /**
     * Returns what follows from [read] and [known]. For some time after a return of the store, states that lack a grant
     * of this router may be stored by others that did not know it; this router knows best what was confirmed to it.
     */
    private fun mergedWith(
        known: VersionedAllocation,
        read: VersionedAllocation,
        isKnownStored: Boolean,
    ): VersionedAllocation {
        val merged = read.mergedWith(known, numberOf(era))
        val whole =
            if (isKnownStored) merged else merged.copy(allocation = merged.allocation.atLeast(known.allocation))
        val ownGrant = known.allocation.grantOf(self)
        val isConfirmedGrantKept = whole.allocation.grantOf(self) == ownGrant
        if (isConfirmedGrantKept || !isSettling(clock.now(), RESTATEMENT_MILLISECONDS)) return whole
        return whole.copy(allocation = whole.allocation.withGrant(self, ownGrant))
    }

    private fun adopt(customer: CustomerId, state: VersionedAllocation) {
        allocations[customer] = state.allocation
        versions[customer] = state.version
    }

    private fun versionOf(customer: CustomerId): AllocationVersion = versions[customer] ?: NO_VERSION

    private fun numberOf(era: StoreEra?): Long = (era as? StoreEra.Numbered)?.number ?: 0

    private fun encode(state: VersionedAllocation): ByteArray = Json.encodeToString(
        AllocationRecord.serializer(),
        AllocationRecord(
            closedTokensAtMost = state.allocation.closedTokensAtMost,
            closedTokensAtLeast = state.allocation.closedTokensAtLeast,
            grants = state.allocation.grants.mapKeys { it.key.value },
            era = state.version.era,
            revision = state.version.revision,
            basis = state.version.basis,
        ),
    ).encodeToByteArray()

    private fun decode(value: ByteArray): VersionedAllocation {
        val record = BoundedJson.decode(AllocationRecord.serializer(), value.decodeToString())
        return VersionedAllocation(
            BudgetAllocation(
                closedTokensAtMost = record.closedTokensAtMost,
                closedTokensAtLeast = record.closedTokensAtLeast,
                grants = record.grants.mapKeys { Incarnation(it.key) }.toPersistentHashMap(),
            ),
            AllocationVersion(record.era, record.revision, record.basis),
        )
    }

    /**
     * The stored form of a [BudgetAllocation].
     *
     * @property closedTokensAtMost upper bound on the tokens charged by holders whose grants are closed
     * @property closedTokensAtLeast lower bound on these tokens
     * @property grants tokens granted to each holder, by its incarnation
     * @property era see [AllocationVersion], as [revision] and [basis]
     */
    @Serializable
    private class AllocationRecord(
        @SerialName("closed") val closedTokensAtMost: Long,
        @SerialName("certain") val closedTokensAtLeast: Long,
        val grants: Map<String, Long>,
        val era: Long = 0,
        val revision: Long = 0,
        val basis: Long = 0,
    )

    /** A [change] that waits for its [outcome]. */
    private class PendingUpdate(val change: LedgerChange, val attempts: Int) {
        var outcome: LedgerUpdate? = null
    }

    private companion object {
        val NO_ALLOCATION = BudgetAllocation()
        val NO_VERSION = AllocationVersion()

        /** Keeps an append far below the store's limit; more follow. */
        const val MAXIMUM_STORED_AGAIN = 500

        /** Several times what the routers take to store again what the store lost. */
        const val RESTATEMENT_MILLISECONDS = 10_000L

        /** Above about this number, reading all added records costs more than reading the newest one of each key. */
        const val MAXIMUM_HOLDERS_READ_INCREMENTALLY = 16
    }
}
