package org.heatherwind.scenarios.history

import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerFold
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.SnapshotTaken

/** One ledger shard's stream under virtual time, with the ledger state that results from all its records. */
public class HistoryLog {
    private val batches = ArrayList<LedgerBatch>()

    /** Ledger state that results from every batch appended so far, including expired ones. */
    public var ledger: LedgerState = LedgerState()
        private set

    /** Whether all appends and reads fail. */
    public var isUnavailable: Boolean = false

    /** Whether appends take effect while their responses are lost. */
    public var losesResponses: Boolean = false

    /** Oldest retained offset. */
    public var oldestOffset: Long = 0
        private set

    /** Offset after the newest batch. */
    public val end: Long get() = batches.size.toLong()

    /** Called after each append with the resulting ledger state. */
    public var onAppend: (LedgerState) -> Unit = {}

    public fun append(batch: LedgerBatch) {
        batches += batch
        ledger = LedgerFold.fold(ledger, end - 1, batch).state
        onAppend(ledger)
    }

    /** Returns the batch at [offset], which must lie below [end]. */
    public fun read(offset: Long): LedgerBatch = batches[offset.toInt()]

    /** Expires all batches up to the offset that the newest snapshot covers. */
    public fun expireBeforeNewestSnapshot() {
        val newest = batches.indexOfLast { batch -> batch.records.any { it is SnapshotTaken } }
        if (newest >= 0) oldestOffset = maxOf(oldestOffset, newestSnapshot().through + 1)
    }

    /** Returns the ledger state of the newest snapshot. At least one must have been appended. */
    public fun newestSnapshot(): LedgerState =
        batches.flatMap { it.records }.filterIsInstance<SnapshotTaken>().last().snapshot.toState()
}
