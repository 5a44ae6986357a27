package org.heatherwind.router.peer

import kotlinx.coroutines.delay
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.owner.DependentProcesses
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.router.shard.ShardRunnerRegistry

/**
 * Reports departed processes to every followed shard. A process counts as departed when its instance is missing from
 * the instance list for longer than the list can lag, or when a later process on the same instance has responded.
 */
internal class DepartedProcessDetector(
    private val shards: ShardRunnerRegistry,
    private val membership: Membership,
    private val gossip: PeerGossip,
    private val clock: WallClock,
) {
    private val absentSince = HashMap<InstanceId, Timestamp>()
    private val departed = LinkedHashSet<Incarnation>()

    /** Checks periodically until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_INTERVAL_MILLISECONDS)
            if (membership.isLoaded) reportDepartedProcesses()
        }
    }

    private suspend fun reportDepartedProcesses() {
        val listed = membership.instances.map { it.instance }.toSet()
        absentSince.keys.removeAll(listed)
        val states = shards.followedShards.values.mapNotNull { it.state }
        val observed = states.flatMap { DependentProcesses.of(it) } + gossip.latestIncarnations
        departed += observed.filter { isDeparted(it, listed) }
        for (runner in shards.followedShards.values) {
            val reported = runner.state?.ledger?.gone ?: continue
            departed.filter { it !in reported }.forEach { runner.send(OwnerEvent.ProcessGone(it)) }
        }
    }

    private fun isDeparted(process: Incarnation, listed: Set<InstanceId>): Boolean {
        if (process.instance in listed) return gossip.hasSuccessor(process)
        val since = absentSince.getOrPut(process.instance) { clock.now() }
        return clock.now() >= since.plusMilliseconds(INSTANCE_LIST_LAG_MILLISECONDS)
    }

    private companion object {
        const val CHECK_INTERVAL_MILLISECONDS = 500L
        const val INSTANCE_LIST_LAG_MILLISECONDS = 3_000L
    }
}
