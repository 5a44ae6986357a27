package org.heatherwind.router.shard

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.heatherwind.clients.log.LogEntry
import org.heatherwind.clients.log.LogFailure
import org.heatherwind.clients.log.LogPage
import org.heatherwind.clients.log.LogService
import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerSnapshot
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.SnapshotTaken
import org.heatherwind.protocol.record.RecordCodec

private val logger = KotlinLogging.logger("reader")

/** A ledger state to start from; it is current once the stream was applied to it through [requiredOffset]. */
internal class InitialLedger(val ledger: LedgerState, val requiredOffset: Long)

/**
 * Reads one ledger stream. It starts only from a complete state: the empty state at offset 0, a snapshot in the stream,
 * or a copy from a peer.
 */
internal class ShardReader(
    private val stream: String,
    private val log: LogService,
    private val fetchFromPeer: suspend () -> LedgerSnapshot?,
) {
    /** Waits until the log or a peer provides an initial state, and returns it. */
    suspend fun loadInitialState(): InitialLedger {
        while (true) {
            val initial = loadFromLog() ?: loadFromPeer()
            if (initial != null) return initial
            delay(RETRY_DELAY_MILLISECONDS)
        }
    }

    private suspend fun loadFromPeer(): InitialLedger? =
        fetchFromPeer()?.toState()?.let { InitialLedger(it, requiredOffset = it.through) }

    /** Reads the stream after offset [through]; returns when the next offset is no longer retained. */
    suspend fun follow(through: Long, onBatch: suspend (offset: Long, batch: LedgerBatch) -> Unit) {
        var nextOffset = through + 1
        while (true) {
            when (val page = log.read(stream, nextOffset, MAXIMUM_RECORDS_PER_PAGE, LONG_POLL_MILLISECONDS)) {
                is Either.Right -> nextOffset = deliver(page.value, nextOffset, onBatch)

                is Either.Left -> when (page.value) {
                    is LogFailure.OffsetExpired -> return
                    is LogFailure.Unavailable -> delay(RETRY_DELAY_MILLISECONDS)
                }
            }
        }
    }

    private suspend fun deliver(
        page: LogPage,
        nextOffset: Long,
        onBatch: suspend (offset: Long, batch: LedgerBatch) -> Unit,
    ): Long {
        page.records.forEach { entry -> decode(entry)?.let { onBatch(entry.offset, it) } }
        return page.records.lastOrNull()?.let { it.offset + 1 } ?: nextOffset
    }

    private suspend fun loadFromLog(): InitialLedger? = when (val page = log.read(stream, 0, 1, 0)) {
        is Either.Right -> InitialLedger(LedgerState(), page.value.endOffset - 1)

        is Either.Left -> when (val failure = page.value) {
            is LogFailure.OffsetExpired -> findNewestSnapshot(failure.oldest)
            is LogFailure.Unavailable -> null
        }
    }

    /** Returns the newest snapshot that the retained records continue without a gap, or null if none was read. */
    private suspend fun findNewestSnapshot(oldest: Long): InitialLedger? {
        var nextOffset = oldest
        var newest: LedgerSnapshot? = null
        while (true) {
            val page = log.read(stream, nextOffset, MAXIMUM_RECORDS_PER_PAGE, 0)
            if (page !is Either.Right) return null
            page.value.records.mapNotNull { decode(it) }.flatMap { it.records }
                .filterIsInstance<SnapshotTaken>()
                .filter { it.snapshot.through >= oldest - 1 }
                .forEach { newest = it.snapshot }
            nextOffset =
                page.value.records.lastOrNull()?.let { it.offset + 1 }
                    ?: return newest?.toState()?.let { InitialLedger(it, nextOffset - 1) }
        }
    }

    private fun decode(entry: LogEntry): LedgerBatch? = RecordCodec.ledgerBatch.decode(entry.record).fold({ error ->
        logger.error { "reader: skipping record ${entry.offset} of stream $stream, which cannot be decoded: $error" }
        null
    }, { it })

    private companion object {
        const val MAXIMUM_RECORDS_PER_PAGE = 1_000
        const val LONG_POLL_MILLISECONDS = 10_000L
        const val RETRY_DELAY_MILLISECONDS = 100L
    }
}
