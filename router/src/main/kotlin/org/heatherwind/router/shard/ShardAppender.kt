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
 * Appends one router's records to one stream in batches, each again until it is known to be in the log. Batches carry
 * ascending numbers, and one is under way at a time.
 */
internal class ShardAppender(
    private val writer: Incarnation,
    private val stream: String,
    private val log: LogService,
    private val batchIntervalMilliseconds: Long,
) {
    private val queue = Channel<LedgerRecord>(Channel.UNLIMITED)
    private val unconfirmed = AtomicInteger()

    /** Whether the last append failed. */
    @Volatile
    var isFailing: Boolean = false
        private set

    /** The highest batch number of this writer that was read back. */
    @Volatile
    var readBack: Long = 0

    /** Records queued or under way. */
    val waiting: Int get() = unconfirmed.get()

    fun enqueue(record: LedgerRecord) {
        unconfirmed.incrementAndGet()
        queue.trySend(record)
    }

    /** Appends until cancelled; calls [onFailure] when an append fails. */
    suspend fun run(onFailure: suspend () -> Unit) {
        var sequence = 0L
        while (true) {
            val records = takeBatch()
            sequence++
            appendUntilKept(LedgerBatch(writer, sequence, records), onFailure)
            unconfirmed.addAndGet(-records.size)
            delay(batchIntervalMilliseconds)
        }
    }

    private suspend fun takeBatch(): List<LedgerRecord> {
        val records = mutableListOf(queue.receive())
        while (records.size < MAXIMUM_BATCH_RECORDS) records += queue.tryReceive().getOrNull() ?: break
        return records
    }

    private suspend fun appendUntilKept(batch: LedgerBatch, onFailure: suspend () -> Unit) {
        val bytes = RecordCodec.ledgerBatch.encode(batch)
        var pause = batchIntervalMilliseconds
        while (readBack < batch.sequence) {
            val appended = log.append(stream, bytes)
            if (appended is Either.Right) break
            reportFailure()
            onFailure()
            delay(pause)
            pause = minOf(pause * 2, LONGEST_PAUSE_MILLISECONDS)
        }
        isFailing = false
    }

    private fun reportFailure() {
        if (!isFailing) logger.warn { "appender: the log service does not take records of $stream" }
        isFailing = true
    }

    private companion object {
        const val MAXIMUM_BATCH_RECORDS = 512
        const val LONGEST_PAUSE_MILLISECONDS = 1_000L
    }
}
