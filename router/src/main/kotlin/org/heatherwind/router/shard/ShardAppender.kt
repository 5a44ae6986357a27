package org.heatherwind.router.shard

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.heatherwind.clients.log.LogService
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerRecord
import org.heatherwind.protocol.record.RecordCodec
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger("appender")

/**
 * Appends one router's records to one log stream in batches. A batch is appended again until the log service confirms
 * it or it is read back from the stream. Batches carry ascending sequence numbers, and only one is in flight at a time.
 */
internal class ShardAppender(
    private val writer: Incarnation,
    private val stream: String,
    private val log: LogService,
    private val batchIntervalMilliseconds: Long,
) {
    private val queue = Channel<LedgerRecord>(Channel.UNLIMITED)
    private val unconfirmedCount = AtomicInteger()

    /** Whether the last append failed. */
    @Volatile
    var isFailing: Boolean = false
        private set

    /** The highest batch sequence number of this writer that was read back from the stream. */
    @Volatile
    var readBackSequence: Long = 0

    /** The number of records that are queued or in flight. */
    val unconfirmedRecords: Int get() = unconfirmedCount.get()

    /** Queues [record] for the next batch; never blocks. */
    fun enqueue(record: LedgerRecord) {
        unconfirmedCount.incrementAndGet()
        queue.trySend(record)
    }

    /** Appends queued records until cancelled; calls [onFailure] after each failed append. */
    suspend fun run(onFailure: suspend () -> Unit) {
        var sequence = 0L
        while (true) {
            val records = collectBatch()
            sequence++
            appendUntilConfirmed(LedgerBatch(writer, sequence, records), onFailure)
            unconfirmedCount.addAndGet(-records.size)
            delay(batchIntervalMilliseconds)
        }
    }

    private suspend fun collectBatch(): List<LedgerRecord> {
        val records = mutableListOf(queue.receive())
        while (records.size < MAXIMUM_RECORDS_PER_BATCH) records += queue.tryReceive().getOrNull() ?: break
        return records
    }

    private suspend fun appendUntilConfirmed(batch: LedgerBatch, onFailure: suspend () -> Unit) {
        val bytes = RecordCodec.ledgerBatch.encode(batch)
        var retryDelayMilliseconds = batchIntervalMilliseconds
        while (readBackSequence < batch.sequence) {
            val appended = log.append(stream, bytes)
            if (appended is Either.Right) break
            markFailing()
            onFailure()
            delay(retryDelayMilliseconds)
            retryDelayMilliseconds = minOf(retryDelayMilliseconds * 2, MAXIMUM_RETRY_DELAY_MILLISECONDS)
        }
        isFailing = false
    }

    private fun markFailing() {
        if (!isFailing) logger.warn { "appender: append to stream $stream failed; retrying until the log confirms it" }
        isFailing = true
    }

    private companion object {
        const val MAXIMUM_RECORDS_PER_BATCH = 512
        const val MAXIMUM_RETRY_DELAY_MILLISECONDS = 1_000L
    }
}
