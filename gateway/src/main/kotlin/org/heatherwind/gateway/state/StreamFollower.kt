package org.heatherwind.gateway.state

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StoreEra
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog

/** Receives the records that a [StreamFollower] reads. */
internal interface StreamSubscriber {
    /** Called with the newest record of every key; keys that are missing do not exist. */
    fun onSnapshot(records: List<KeyedRecord>)

    /** Called with the records that follow those received before. */
    fun onRecords(records: List<KeyedRecord>)

    /** Called after a successful read at [now]. [isReconnected] is true if the store was unreachable before. */
    fun onCurrent(now: MonotonicTime, isReconnected: Boolean)

    /**
     * Called before a snapshot that was read at [now], if the store came back from a copy since the last read. Offsets
     * received before are void, and what was stored lately may be missing until it is written again.
     */
    fun onRestored(now: MonotonicTime): Unit = Unit
}

/**
 * How a partition is polled.
 *
 * @property waitMilliseconds longest time that a read waits for a record
 * @property pauseMilliseconds pause between reads
 * @property isNewestOnly whether each read fetches only the newest record of each key, which transfers fewer records
 *   if most of them are replaced before they are read
 * @property isSkippingReplaced whether records that were replaced by a newer one of the same key are skipped, which
 *   transfers less if records are large and replaced often
 */
internal data class PollingPolicy(
    val waitMilliseconds: Long,
    val pauseMilliseconds: Long,
    val isNewestOnly: Boolean = false,
    val isSkippingReplaced: Boolean = false,
)

/**
 * Polls one partition: reads the newest record of each key first, then the records that are added. If records expired
 * before they were read, or a new era of the store began, starts again with the newest ones.
 */
internal class StreamFollower(
    private val store: RecordStore,
    private val partition: StreamPartition,
    private val pollingPolicy: () -> PollingPolicy,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val subscriber: StreamSubscriber,
) {
    private var nextOffset: Long? = null

    /** The era of [nextOffset], or null until the first read. */
    private var era: StoreEra? = null
    private var unreachableSince: MonotonicTime? = null
    private var isLastReadLarge = false

    /** Polls until cancelled. A poll that fails is logged, and the next one follows after a pause. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            val isFailed = !tryPoll()
            val extraMilliseconds = if (isLastReadLarge || isFailed) EXTRA_PAUSE_MILLISECONDS else 0
            delay(pollingPolicy().pauseMilliseconds + extraMilliseconds)
        }
    }

    @Suppress("TooGenericExceptionCaught") // A stack overflow in one poll need not recur in the next.
    private suspend fun tryPoll(): Boolean = try {
        poll()
        true
    } catch (cancellation: CancellationException) {
        throw cancellation
    } catch (failure: Throwable) {
        logFailure("A poll failed.", nextOffset, failure)
        false
    }

    /** Reads once and passes the records to the subscriber. */
    suspend fun poll() {
        val pollingPolicy = pollingPolicy()
        val from = nextOffset.takeUnless { pollingPolicy.isNewestOnly }
        isLastReadLarge = false
        val added = from?.let { readAdded(it, pollingPolicy) }
        val isSnapshot =
            added == null || isOfOtherEra(added) || (pollingPolicy.isSkippingReplaced && hasMore(added))
        val read = if (added == null || isSnapshot) store.newest(partition) else added
        when (read) {
            is StreamRead.Records -> {
                isLastReadLarge = read.records.sumOf { it.value?.size ?: 0 } > LARGE_BYTES
                beginEra(read)
                deliver(read.records, isSnapshot)
                recordReachable(read)
                nextOffset = read.nextOffset
            }

            StreamRead.Expired -> {
                log.stateChange(
                    "stream",
                    "Records of $partition expired before they were read; reading the newest ones.",
                    "nextOffset" to nextOffset,
                )
                nextOffset = null
            }

            is StreamRead.Unavailable -> recordUnreachable(read.reason)
        }
    }

    private fun isOfOtherEra(read: StreamRead): Boolean = read is StreamRead.Records && read.era != era

    /** Notes the era of [read], which is a snapshot if the era is another one. */
    private fun beginEra(read: StreamRead.Records) {
        val known = era
        era = read.era
        if (known == null || known == read.era) return
        log.stateChange(
            "stream",
            "The store came back from a copy; read the newest records.",
            "partition" to partition,
            "knownEra" to known,
            "era" to read.era,
            "nextOffset" to nextOffset,
            "endOffset" to read.endOffset,
        )
        subscriber.onRestored(clock.now())
    }

    /** Passes [records] to the subscriber. If it fails, passes them one by one, without those that it fails on. */
    private fun deliver(records: List<KeyedRecord>, isSnapshot: Boolean) {
        val deliverAll = { all: List<KeyedRecord> ->
            if (isSnapshot) subscriber.onSnapshot(all) else subscriber.onRecords(all)
        }
        if (tryDeliver(records.firstOrNull()) { deliverAll(records) }) return
        val accepted = records.filter { record -> tryDeliver(record) { subscriber.onRecords(listOf(record)) } }
        if (isSnapshot) subscriber.onSnapshot(accepted)
    }

    @Suppress("TooGenericExceptionCaught") // Whatever a record causes, the records after it are needed.
    private fun tryDeliver(first: KeyedRecord?, deliver: () -> Unit): Boolean = try {
        deliver()
        true
    } catch (failure: Throwable) {
        logFailure("Records could not be processed.", first?.offset, failure)
        false
    }

    private fun logFailure(sentence: String, offset: Long?, failure: Throwable): Unit = log.stateChange(
        "stream",
        sentence,
        "partition" to partition,
        "offset" to offset,
        "failure" to failure.javaClass.name,
        "reason" to failure.message?.take(MAXIMUM_REASON_CHARACTERS),
    )

    /**
     * Reads the records that were added after [from], only the first of them if replaced records are skipped. If others
     * follow it, the newest ones of all keys are read instead: a record may replace another key's or delete a key.
     */
    private suspend fun readAdded(from: Long, pollingPolicy: PollingPolicy): StreamRead =
        if (pollingPolicy.isSkippingReplaced) {
            store.read(partition, from, pollingPolicy.waitMilliseconds, SMALLEST_READ_KILOBYTES)
        } else {
            store.read(partition, from, pollingPolicy.waitMilliseconds)
        }

    private fun hasMore(read: StreamRead): Boolean = read is StreamRead.Records && read.nextOffset < read.endOffset

    private fun recordReachable(read: StreamRead.Records) {
        val now = clock.now()
        val since = unreachableSince
        unreachableSince = null
        if (since != null) {
            log.dependency(
                "store",
                "The store is reachable again for $partition.",
                "outOfReachMilliseconds" to now.millisecondsSince(since),
                "era" to read.era,
                "nextOffset" to nextOffset,
                "endOffset" to read.endOffset,
            )
        }
        subscriber.onCurrent(now, isReconnected = since != null)
    }

    private fun recordUnreachable(reason: String) {
        if (unreachableSince != null) return
        unreachableSince = clock.now()
        log.dependency("store", "The store is unreachable for $partition.", "reason" to reason)
    }

    private companion object {
        /** Smallest size limit of a read; the store returns at least one record even if it is larger. */
        const val SMALLEST_READ_KILOBYTES = 1

        /** A read of this size takes about 0.1 s on the slowest supported links. */
        const val LARGE_BYTES = 100_000

        /**
         * Leaves most of a slow link's bandwidth to requests while large records are added at short intervals, and most
         * of the processor's time while polls fail.
         */
        const val EXTRA_PAUSE_MILLISECONDS = 500L
        const val MAXIMUM_REASON_CHARACTERS = 200
    }
}
