package org.heatherwind.scenarios.history

import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerFold
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.SnapshotTaken

/** One shard's stream under virtual time, with the state that its full order gives. */
public class HistoryLog {
    private val batches = ArrayList<LedgerBatch>()

    /** The fold over everything ever appended. */
    public var truth: LedgerState = LedgerState()
        private set

    /** Whether appends and reads fail. */
    public var isOut: Boolean = false

    /** Whether appends take effect and their answers are lost. */
    public var losesAnswers: Boolean = false

    /** Oldest kept offset. */
    public var oldest: Long = 0
        private set

    /** Offset after the newest record. */
    public val end: Long get() = batches.size.toLong()

    /** Called after each append with the state after it. */
    public var onAppend: (LedgerState) -> Unit = {}

    /** Appends [batch]. */
    public fun append(batch: LedgerBatch) {
        batches += batch
        truth = LedgerFold.fold(truth, end - 1, batch).state
        onAppend(truth)
    }

    /** The batch at [offset], which must be kept. */
    public fun read(offset: Long): LedgerBatch = batches[offset.toInt()]

    /** Ends the retention of all records before the newest snapshot. */
    public fun expireBeforeSnapshot() {
        val newest = batches.indexOfLast { batch -> batch.records.any { it is SnapshotTaken } }
        if (newest >= 0) oldest = maxOf(oldest, newestSnapshot().through + 1)
    }

    /** The state of the newest snapshot that is kept. */
    public fun newestSnapshot(): LedgerState =
        batches.flatMap { it.records }.filterIsInstance<SnapshotTaken>().last().snapshot.toState()
}
