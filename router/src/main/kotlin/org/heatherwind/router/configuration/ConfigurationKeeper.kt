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

/** Keeps the configuration in force: it follows the log's order and learns higher versions from peers. */
public class ConfigurationKeeper(private val log: LogService) {
    private val loaded = CompletableDeferred<Unit>()
    private val publications = ConcurrentHashMap<String, CompletableDeferred<PublicationResult>>()

    /** The state in force. */
    @Volatile
    public var state: ConfigurationState = ConfigurationState()
        private set

    /** Whether a configuration was read from the log's start, from a copy in it, or from a peer. */
    public val isLoaded: Boolean get() = loaded.isCompleted

    /** Follows the configuration stream until cancelled. */
    public suspend fun run() {
        var next = 0L
        while (true) {
            when (
                val page = log.read(
                    LogStreamNames.CONFIGURATION,
                    next,
                    MAXIMUM_RECORDS_PER_PAGE,
                    WAIT_MILLISECONDS,
                )
            ) {
                is Either.Right -> {
                    page.value.records.forEach { fold(it) }
                    next = page.value.records.lastOrNull()?.let { it.offset + 1 } ?: next
                    if (next >= page.value.end && isComplete(next)) loaded.complete(Unit)
                }

                is Either.Left -> next = afterFailure(page.value, next)
            }
        }
    }

    /** Publishes [change] and tells what became of it, or null when the log does not take it. */
    public suspend fun publish(change: ConfigurationPublished): PublicationResult? {
        val result = publications.computeIfAbsent(change.changeKey) { CompletableDeferred() }
        val record = RecordCodec.configurationRecord.encode(change)
        if (log.append(LogStreamNames.CONFIGURATION, record) is Either.Left) return null
        return result.await()
    }

    /** Appends a copy of the version in force, so that it outlives the log's retention. */
    public suspend fun keepCopy() {
        val copy = ConfigurationCopied(state.current)
        if (copy.version.version >
            0
        ) {
            log.append(LogStreamNames.CONFIGURATION, RecordCodec.configurationRecord.encode(copy))
        }
    }

    /** Takes over [version] from a peer if it is higher than the one in force. */
    @Synchronized
    public fun learn(version: ConfigurationVersion) {
        val before = state.current.version
        state = state.learn(version)
        if (state.current.version > before) {
            logger.info { "configuration: version ${version.version} is in force, learned from a copy" }
            loaded.complete(Unit)
        }
    }

    private fun isComplete(next: Long): Boolean = !hasGap || state.current.version > 0 || next == 0L

    @Volatile
    private var hasGap = false

    private suspend fun afterFailure(failure: LogFailure, next: Long): Long = when (failure) {
        is LogFailure.OffsetGone -> {
            hasGap = true
            failure.oldest
        }

        is LogFailure.Unavailable -> {
            delay(RETRY_DELAY_MILLISECONDS)
            next
        }
    }

    private fun fold(entry: LogEntry) {
        RecordCodec.configurationRecord.decode(entry.record).fold(
            { logger.error { "configuration: record ${entry.offset} is unreadable and skipped: $it" } },
            { record ->
                when (record) {
                    is ConfigurationPublished -> fold(record)
                    is ConfigurationCopied -> learn(record.version)
                }
            },
        )
    }

    @Synchronized
    private fun fold(change: ConfigurationPublished) {
        val folded = state.publish(change)
        state = folded.state
        logger.info { "configuration: a change by ${change.publisher} was ${describe(folded.result)}" }
        publications.remove(change.changeKey)?.complete(folded.result)
    }

    private fun describe(result: PublicationResult) = when (result) {
        is PublicationResult.Accepted -> "accepted as version ${result.version.version}"
        is PublicationResult.Outdated -> "refused, since ${result.winner.publisher} changed it first"
        is PublicationResult.Invalid -> "refused, since it breaks ${result.problems.size} rules"
        is PublicationResult.Repeated -> "seen before"
    }

    private companion object {
        const val MAXIMUM_RECORDS_PER_PAGE = 100
        const val WAIT_MILLISECONDS = 10_000L
        const val RETRY_DELAY_MILLISECONDS = 200L
    }
}
