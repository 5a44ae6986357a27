package org.heatherwind.router.shard

import kotlinx.coroutines.delay
import org.heatherwind.router.configuration.ConfigurationKeeper
import org.heatherwind.router.peer.Membership

/**
 * Appends snapshots of followed shards and copies of the configuration, so that a reader finds a state after the log's
 * retention has passed. The first home of a shard writes; when it does not, others do at twice the distance.
 */
internal class SnapshotKeeper(
    private val shards: ShardRunners,
    private val membership: Membership,
    private val configuration: ConfigurationKeeper,
    private val intervalRecords: Long,
) {
    /** Appends until cancelled. */
    suspend fun run() {
        var rounds = 0
        while (true) {
            delay(PERIOD_MILLISECONDS)
            shards.followed.forEach { (shard, runner) -> if (isDue(shard, runner)) runner.takeSnapshot() }
            val isFirst = membership.isSelf(membership.live.first().instance)
            if (isFirst && ++rounds % COPY_ROUNDS == 0) configuration.keepCopy()
        }
    }

    private fun isDue(shard: Int, runner: ShardRunner): Boolean {
        val isFirst = membership.homesOf(shard).firstOrNull()?.let { membership.isSelf(it.instance) } ?: false
        val distance = if (isFirst) intervalRecords else intervalRecords * 2
        return runner.recordsSinceSnapshot >= distance
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 2_000L
        const val COPY_ROUNDS = 30
    }
}
