package org.heatherwind.gateway.state

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.heatherwind.core.identity.Moment
import org.heatherwind.core.identity.SteadyClock
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
    fun onCurrent(now: Moment, isRegained: Boolean)
}

/**
 * How a partition is read.
 *
 * @property waitMilliseconds time that a read waits for a record
 * @property pauseMilliseconds time between reads
 * @property isNewestOnly whether each read takes the newest record of each key, which costs less where most records are
 *   replaced before they are read
 */
internal data class FollowPace(
    val waitMilliseconds: Long,
    val pauseMilliseconds: Long,
    val isNewestOnly: Boolean = false,
)

/**
 * Reads one partition at a steady pace: the newest record of each key first, then what is added. After records expired,
 * it begins anew.
 */
internal class StreamFollower(
    private val store: RecordStore,
    private val partition: StreamPartition,
    private val pace: () -> FollowPace,
    private val clock: SteadyClock,
    private val log: DecisionLog,
    private val subscriber: StreamSubscriber,
) {
    private var nextOffset: Long? = null
    private var lostAt: Moment? = null

    /** Reads until it is cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            step()
            delay(pace().pauseMilliseconds)
        }
    }

    /** Reads once. */
    suspend fun step() {
        val pace = pace()
        val from = nextOffset.takeUnless { pace.isNewestOnly }
        val read = if (from == null) store.newest(partition) else store.read(partition, from, pace.waitMilliseconds)
        when (read) {
            is StreamRead.Records -> {
                if (from == null) subscriber.onSnapshot(read.records) else subscriber.onRecords(read.records)
                nextOffset = read.nextOffset
                noteRegained()
            }

            StreamRead.Expired -> {
                log.belief("stream", "Records of $partition expired before they were read; reading the newest ones.")
                nextOffset = null
            }

            is StreamRead.Unavailable -> noteLost(read.reason)
        }
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
}
