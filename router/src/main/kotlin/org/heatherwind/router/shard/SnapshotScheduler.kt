package org.heatherwind.router.shard

import kotlinx.coroutines.delay
import org.heatherwind.router.configuration.ConfigurationReplica
import org.heatherwind.router.peer.Membership

/**
 * Appends snapshots of followed shards and copies of the configuration, so that a state can be loaded after the log has
 * discarded older records. The first owner of a shard appends a snapshot every [intervalRecords] records. The other
 * routers act as backup: each appends one when no snapshot was written for twice as many records. The first live router
 * appends the copies of the configuration.
 */
internal class SnapshotScheduler(
    private val shards: ShardRunnerRegistry,
    private val membership: Membership,
    private val configuration: ConfigurationReplica,
    private val intervalRecords: Long,
) {
    /** Checks all followed shards periodically until cancelled. */
    suspend fun run() {
        var checks = 0
        while (true) {
            delay(CHECK_INTERVAL_MILLISECONDS)
            shards.followedShards.forEach { (shard, runner) ->
                if (isSnapshotDue(shard, runner)) runner.appendSnapshot()
            }
            val isFirstLiveRouter = membership.isSelf(membership.live.first().instance)
            if (isFirstLiveRouter && ++checks % CHECKS_PER_CONFIGURATION_COPY == 0) configuration.appendCopy()
        }
    }

    private fun isSnapshotDue(shard: Int, runner: ShardRunner): Boolean {
        val isFirstOwner = membership.ownersOf(shard).firstOrNull()?.let { membership.isSelf(it.instance) } ?: false
        val dueAfterRecords = if (isFirstOwner) intervalRecords else intervalRecords * 2
        return runner.recordsSinceSnapshot >= dueAfterRecords
    }

    private companion object {
        const val CHECK_INTERVAL_MILLISECONDS = 2_000L
        const val CHECKS_PER_CONFIGURATION_COPY = 30
    }
}
