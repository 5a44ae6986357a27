package org.heatherwind.gateway.state

import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead

/** This router's copy of one partition of the budgets, brought up to date before each change. */
internal class LedgerPartition(private val store: RecordStore, private val partition: StreamPartition) {
    private val allocations = HashMap<CustomerId, BudgetAllocation>()
    private var nextOffset: Long? = null

    /** Whether a change may be tried without reading first. */
    var isCurrent = false
        private set

    /** The allocation of [customer] as last read. */
    fun allocationOf(customer: CustomerId): BudgetAllocation = allocations[customer] ?: BudgetAllocation()

    /** Reads what was added. Answers whether the copy is now up to date. */
    suspend fun refresh(): Boolean {
        val from = nextOffset.takeUnless { isWide() }
        val read = if (from == null) store.newest(partition) else store.read(partition, from)
        when (read) {
            is StreamRead.Records -> {
                read.records.forEach { apply(it) }
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

    /** Whether allocations have so many holders that most records are replaced before they are read. */
    private fun isWide(): Boolean = allocations.values.any { it.grants.size > WIDE_HOLDERS }

    /** Has the next change read the partition first. */
    fun distrust() {
        isCurrent = false
    }

    /** All allocations as last read. */
    fun all(): Map<CustomerId, BudgetAllocation> = allocations.toMap()

    /** Appends [changed] if nothing was added since the last read. */
    suspend fun append(changed: Map<CustomerId, BudgetAllocation>): StreamAppend {
        val expected = nextOffset ?: return StreamAppend.Conflict
        isCurrent = false
        val records = changed.map { (customer, allocation) -> NewRecord(customer.value, encode(allocation)) }
        val append = store.append(partition, records, AppendCondition.EndsAt(expected))
        if (append is StreamAppend.Appended) {
            allocations += changed
            nextOffset = append.endOffset
            isCurrent = true
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
            closed = allocation.closedTokens,
            certain = allocation.certainClosedTokens,
            grants = allocation.grants.mapKeys { it.key.value },
        ),
    ).encodeToByteArray()

    private fun decode(value: ByteArray): BudgetAllocation {
        val record = json.decodeFromString(AllocationRecord.serializer(), value.decodeToString())
        return BudgetAllocation(
            closedTokens = record.closed,
            certainClosedTokens = record.certain,
            grants = record.grants.mapKeys { Incarnation(it.key) }.toPersistentHashMap(),
        )
    }

    /**
     * A [BudgetAllocation] in the store.
     *
     * @property closed tokens that routers without a grant any more charged at most
     * @property certain tokens that they charged at least
     * @property grants tokens granted to each holder, by its incarnation
     */
    @Serializable
    private class AllocationRecord(val closed: Long, val certain: Long, val grants: Map<String, Long>)

    private companion object {
        /** Fields that a later version adds do not matter here. */
        val json = Json { ignoreUnknownKeys = true }

        /** From about here on, the records that all holders append outweigh the newest ones. */
        const val WIDE_HOLDERS = 16
    }
}
