package org.heatherwind.gateway.store

/**
 * Counts the calls to [store] by purpose and outcome, since each call costs the same, and their number grows with the
 * fleet. Each page of a read of the newest records is one more call, which is not seen here.
 *
 * @param purposeOfRead what a partition is read for
 * @param purposeOfAppend what a partition is appended to for
 */
internal class CountingRecordStore(
    private val store: RecordStore,
    private val purposeOfRead: (StreamPartition) -> StoreCallPurpose,
    private val purposeOfAppend: (StreamPartition) -> StoreCallPurpose,
    private val onCall: (StoreCall) -> Unit,
) : RecordStore {
    override suspend fun read(
        partition: StreamPartition,
        from: Long,
        waitMilliseconds: Long,
        maximumKilobytes: Int,
    ): StreamRead = store.read(partition, from, waitMilliseconds, maximumKilobytes).also { countRead(partition, it) }

    override suspend fun newest(partition: StreamPartition): StreamRead =
        store.newest(partition).also { countRead(partition, it) }

    override suspend fun append(
        partition: StreamPartition,
        records: List<NewRecord>,
        condition: AppendCondition,
    ): StreamAppend = store.append(partition, records, condition).also { append ->
        val outcome = when (append) {
            is StreamAppend.Appended -> StoreCallOutcome.DONE
            is StreamAppend.Conflict, is StreamAppend.OutOfSequence -> StoreCallOutcome.CONFLICT
            is StreamAppend.Rejected, is StreamAppend.Unknown -> StoreCallOutcome.FAILED
        }
        onCall(StoreCall(purposeOfAppend(partition), outcome, records.sumOf { it.value.size }))
    }

    private fun countRead(partition: StreamPartition, read: StreamRead) {
        val bytes = (read as? StreamRead.Records)?.records?.sumOf { it.value?.size ?: 0 } ?: 0
        val outcome = if (read is StreamRead.Unavailable) StoreCallOutcome.FAILED else StoreCallOutcome.DONE
        onCall(StoreCall(purposeOfRead(partition), outcome, bytes))
    }
}

/**
 * One call to the store.
 *
 * @property bytes size of the records' contents that were sent or received
 */
internal data class StoreCall(val purpose: StoreCallPurpose, val outcome: StoreCallOutcome, val bytes: Int)

/** How a call to the store ended. */
internal enum class StoreCallOutcome {
    /** The store did what the call asked for. */
    DONE,

    /** The condition of an append did not hold. */
    CONFLICT,

    /** The store rejected the call or did not respond. */
    FAILED,
}
