package org.heatherwind.router.configuration

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import org.heatherwind.clients.log.LogEntry
import org.heatherwind.clients.log.LogFailure
import org.heatherwind.clients.log.LogService
import org.heatherwind.core.configuration.ConfigurationCopied
import org.heatherwind.core.configuration.ConfigurationPublished
import org.heatherwind.core.configuration.ConfigurationState
import org.heatherwind.core.configuration.ConfigurationVersion
import org.heatherwind.core.configuration.PublicationResult
import org.heatherwind.protocol.record.RecordCodec
import org.heatherwind.router.shard.LogStreamNames
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger("configuration")

/**
 * This router's replica of the fleet configuration. It applies published changes in the order of the log and adopts
 * higher versions from peers and from copies in the log.
 */
public class ConfigurationReplica(private val log: LogService) {
    private val loaded = CompletableDeferred<Unit>()
    private val publications = ConcurrentHashMap<String, CompletableDeferred<PublicationResult>>()

    /** The configuration in force, with its recent versions. */
    @Volatile
    public var state: ConfigurationState = ConfigurationState()
        private set

    /** Whether the stream was read from its start, or a copy was adopted from the stream or from a peer. */
    public val isLoaded: Boolean get() = loaded.isCompleted

    /** Follows the configuration stream until cancelled. */
    public suspend fun run() {
        var nextOffset = 0L
        while (true) {
            when (
                val page = log.read(
                    LogStreamNames.CONFIGURATION,
                    nextOffset,
                    MAXIMUM_RECORDS_PER_PAGE,
                    LONG_POLL_MILLISECONDS,
                )
            ) {
                is Either.Right -> {
                    page.value.records.forEach { apply(it) }
                    nextOffset = page.value.records.lastOrNull()?.let { it.offset + 1 } ?: nextOffset
                    if (nextOffset >= page.value.endOffset && isComplete(nextOffset)) loaded.complete(Unit)
                }

                is Either.Left -> nextOffset = nextOffsetAfter(page.value, nextOffset)
            }
        }
    }

    /**
     * Publishes [change] and waits for the result, which is known once the change was read back from the log. Returns
     * null when the append failed; the change may still take effect.
     */
    public suspend fun publish(change: ConfigurationPublished): PublicationResult? {
        val result = publications.computeIfAbsent(change.changeKey) { CompletableDeferred() }
        val record = RecordCodec.configurationRecord.encode(change)
        if (log.append(LogStreamNames.CONFIGURATION, record) is Either.Left) return null
        return result.await()
    }

    /** Appends a copy of the version in force to the log, so that it outlasts the retention of the published change. */
    public suspend fun appendCopy() {
        val copy = ConfigurationCopied(state.current)
        if (copy.version.version > 0) {
            log.append(LogStreamNames.CONFIGURATION, RecordCodec.configurationRecord.encode(copy))
        }
    }

    /** Adopts the copy [version] from a peer or from the log if it is higher than the version in force. */
    @Synchronized
    public fun adopt(version: ConfigurationVersion) {
        val previous = state.current.version
        state = state.adopt(version)
        if (state.current.version > previous) {
            logger.info { "configuration: version ${version.version}, adopted from a copy, is now in force" }
            loaded.complete(Unit)
        }
    }

    /** Returns whether the state is complete once the log was read up to [nextOffset]. */
    private fun isComplete(nextOffset: Long): Boolean = !isStartMissing || state.current.version > 0 || nextOffset == 0L

    /** Whether the start of the stream was no longer retained when this router read it. */
    @Volatile
    private var isStartMissing = false

    private suspend fun nextOffsetAfter(failure: LogFailure, nextOffset: Long): Long = when (failure) {
        is LogFailure.OffsetExpired -> {
            isStartMissing = true
            failure.oldest
        }

        is LogFailure.Unavailable -> {
            delay(RETRY_DELAY_MILLISECONDS)
            nextOffset
        }
    }

    private fun apply(entry: LogEntry) {
        RecordCodec.configurationRecord.decode(entry.record).fold(
            { logger.error { "configuration: skipping record ${entry.offset}, which cannot be decoded: $it" } },
            { record ->
                when (record) {
                    is ConfigurationPublished -> apply(record)
                    is ConfigurationCopied -> adopt(record.version)
                }
            },
        )
    }

    @Synchronized
    private fun apply(change: ConfigurationPublished) {
        val applied = state.publish(change)
        state = applied.state
        logger.info { "configuration: change by ${change.publisher} was ${describe(applied.result)}" }
        publications.remove(change.changeKey)?.complete(applied.result)
    }

    private fun describe(result: PublicationResult) = when (result) {
        is PublicationResult.Accepted -> "accepted as version ${result.version.version}"
        is PublicationResult.Outdated -> "refused: ${result.winner.publisher} changed the same base version first"
        is PublicationResult.Invalid -> "refused: it violates ${result.problems.size} rules"
        is PublicationResult.Repeated -> "ignored: it was applied before"
    }

    private companion object {
        const val MAXIMUM_RECORDS_PER_PAGE = 100
        const val LONG_POLL_MILLISECONDS = 10_000L
        const val RETRY_DELAY_MILLISECONDS = 200L
    }
}
