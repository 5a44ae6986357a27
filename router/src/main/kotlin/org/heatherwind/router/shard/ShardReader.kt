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

/** A state with which to begin; it is current once it was folded through [currentThrough]. */
internal class InitialLedger(val ledger: LedgerState, val currentThrough: Long)

/** Reads one ledger stream, from a state that is never made up: the stream's start, a snapshot, or a peer's copy. */
internal class ShardReader(
    private val stream: String,
    private val log: LogService,
    private val fetchFromPeer: suspend () -> LedgerSnapshot?,
) {
    /** The state with which to begin, once the log or a peer gives one. */
    suspend fun loadInitialState(): InitialLedger {
        while (true) {
            val initial = loadFromLog() ?: loadFromPeer()
            if (initial != null) return initial
            delay(RETRY_MILLISECONDS)
        }
    }

    private suspend fun loadFromPeer(): InitialLedger? =
        fetchFromPeer()?.toState()?.let { InitialLedger(it, currentThrough = it.through) }

    /** Follows the stream after [through]; ends when the next offset is no longer kept. */
    suspend fun follow(through: Long, onBatch: suspend (offset: Long, batch: LedgerBatch) -> Unit) {
        var next = through + 1
        while (true) {
            when (val page = log.read(stream, next, PAGE_RECORDS, WAIT_MILLISECONDS)) {
                is Either.Right -> next = pass(page.value, next, onBatch)

                is Either.Left -> when (page.value) {
                    is LogFailure.OffsetGone -> return
                    is LogFailure.Unavailable -> delay(RETRY_MILLISECONDS)
                }
            }
        }
    }

    private suspend fun pass(
        page: LogPage,
        next: Long,
        onBatch: suspend (offset: Long, batch: LedgerBatch) -> Unit,
    ): Long {
        page.records.forEach { entry -> decode(entry)?.let { onBatch(entry.offset, it) } }
        return page.records.lastOrNull()?.let { it.offset + 1 } ?: next
    }

    private suspend fun loadFromLog(): InitialLedger? = when (val page = log.read(stream, 0, 1, 0)) {
        is Either.Right -> InitialLedger(LedgerState(), page.value.end - 1)

        is Either.Left -> when (val failure = page.value) {
            is LogFailure.OffsetGone -> newestSnapshot(failure.oldest)
            is LogFailure.Unavailable -> null
        }
    }

    private suspend fun newestSnapshot(oldest: Long): InitialLedger? {
        var next = oldest
        var newest: LedgerSnapshot? = null
        while (true) {
            val page = log.read(stream, next, PAGE_RECORDS, 0)
            if (page !is Either.Right) return null
            page.value.records.mapNotNull { decode(it) }.flatMap { it.records }
                .filterIsInstance<SnapshotTaken>()
                .filter { it.snapshot.through >= oldest - 1 }
                .forEach { newest = it.snapshot }
            next =
                page.value.records.lastOrNull()?.let { it.offset + 1 }
                    ?: return newest?.toState()?.let { InitialLedger(it, next - 1) }
        }
    }

    private fun decode(entry: LogEntry): LedgerBatch? = RecordCodec.ledgerBatch.decode(entry.record).fold({ error ->
        logger.error { "reader: record ${entry.offset} of $stream is unreadable and skipped: $error" }
        null
    }, { it })

    private companion object {
        const val PAGE_RECORDS = 1_000
        const val WAIT_MILLISECONDS = 10_000L
        const val RETRY_MILLISECONDS = 100L
    }
}
