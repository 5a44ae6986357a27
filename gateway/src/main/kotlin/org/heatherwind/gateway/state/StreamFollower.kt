package org.heatherwind.gateway.state

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog

/** Receives what a follower reads. */
internal interface StreamSubscriber {
    /** The newest record of every key; keys that are missing do not exist. */
    fun onSnapshot(records: List<KeyedRecord>)

    /** Records that follow what was received before. */
    fun onRecords(records: List<KeyedRecord>)

    /** The partition was read to its end at [now]; [isRegained] after the store had been out of reach. */
    fun onCurrent(now: MonotonicTime, isRegained: Boolean)
}

/**
 * How a partition is read.
 *
 * @property waitMilliseconds time that a read waits for a record
 * @property pauseMilliseconds time between reads
 * @property isNewestOnly whether each read takes the newest record of each key, which costs less where most records are
 *   replaced before they are read
 * @property isSkipping whether records that newer ones of the same key replaced are left out, which costs less where
 *   records are large and come in quick succession
 */
internal data class PollingPolicy(
    val waitMilliseconds: Long,
    val pauseMilliseconds: Long,
    val isNewestOnly: Boolean = false,
    val isSkipping: Boolean = false,
)

/**
 * Reads one partition at a steady pace: the newest record of each key first, then what is added. After records expired,
 * it begins anew.
 */
internal class StreamFollower(
    private val store: RecordStore,
    private val partition: StreamPartition,
    private val pace: () -> PollingPolicy,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val subscriber: StreamSubscriber,
) {
    private var nextOffset: Long? = null
    private var lostAt: MonotonicTime? = null
    private var isLastReadLarge = false

    /** Reads until it is cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            step()
            delay(pace().pauseMilliseconds + if (isLastReadLarge) LARGE_PAUSE_MILLISECONDS else 0)
        }
    }

    /** Reads once. */
    suspend fun step() {
        val pace = pace()
        val from = nextOffset.takeUnless { pace.isNewestOnly }
        isLastReadLarge = false
        val read = when {
            from == null -> store.newest(partition)
            pace.isSkipping -> readSkipping(from, pace)
            else -> store.read(partition, from, pace.waitMilliseconds)
        }
        when (read) {
            is StreamRead.Records -> {
                isLastReadLarge = read.records.sumOf { it.value?.size ?: 0 } > LARGE_BYTES
                if (from == null) subscriber.onSnapshot(read.records) else subscriber.onRecords(read.records)
                nextOffset = read.nextOffset
                noteRegained()
            }

            StreamRead.Expired -> {
                log.stateChange(
                    "stream",
                    "Records of $partition expired before they were read; reading the newest ones.",
                )
                nextOffset = null
            }

            is StreamRead.Unavailable -> noteLost(read.reason)
        }
    }

    /** Reads the first new record, then the last one. Where they have different keys, all newest records are read. */
    private suspend fun readSkipping(from: Long, pace: PollingPolicy): StreamRead {
        val first = store.read(partition, from, pace.waitMilliseconds, SMALLEST_READ_KILOBYTES)
        if (first !is StreamRead.Records || first.nextOffset >= first.endOffset) return first
        val last = store.read(partition, first.endOffset - 1)
        if (last !is StreamRead.Records) return last
        val keys = (first.records + last.records).mapTo(HashSet()) { it.key }
        return if (first.records.isNotEmpty() && keys.size == 1) last else store.newest(partition)
    }

    private fun noteRegained() {
        val now = clock.now()
        val lost = lostAt
        lostAt = null
        if (lost != null) {
            log.dependency(
                "store",
                "Reading $partition again.",
                "outOfReachMilliseconds" to now.millisecondsSince(lost),
            )
        }
        subscriber.onCurrent(now, isRegained = lost != null)
    }

    private fun noteLost(reason: String) {
        if (lostAt != null) return
        lostAt = clock.now()
        log.dependency("store", "Cannot read $partition.", "reason" to reason)
    }

    private companion object {
        /** The store answers with one record at least, however large. */
        const val SMALLEST_READ_KILOBYTES = 1

        /** Takes about 0.1 s on the slowest links of the users' instances. */
        const val LARGE_BYTES = 100_000

        /** Leaves most of a slow link to requests while large records come in quick succession. */
        const val LARGE_PAUSE_MILLISECONDS = 500L
    }
}
