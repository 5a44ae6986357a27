package org.heatherwind.router.peer

import kotlinx.coroutines.delay
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.owner.KnownProcesses
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.router.shard.ShardRunnerRegistry

/**
 * Declares to every followed shard the processes that are gone: those whose instance stays off the instance list for
 * longer than the list lags, and those that a later process on the same instance has replaced.
 */
internal class ProcessWatch(
    private val shards: ShardRunnerRegistry,
    private val membership: Membership,
    private val exchange: PeerExchange,
    private val clock: WallClock,
) {
    private val absentSince = HashMap<InstanceId, Timestamp>()
    private val departed = LinkedHashSet<Incarnation>()

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PERIOD_MILLISECONDS)
            if (membership.isKnown) watch()
        }
    }

    private suspend fun watch() {
        val listed = membership.instances.map { it.instance }.toSet()
        absentSince.keys.removeAll(listed)
        val states = shards.followedShards.values.mapNotNull { it.state }
        val known = states.flatMap { KnownProcesses.of(it) } + exchange.knownProcesses
        departed += known.filter { isGone(it, listed) }
        for (runner in shards.followedShards.values) {
            val declared = runner.state?.ledger?.gone ?: continue
            departed.filter { it !in declared }.forEach { runner.send(OwnerEvent.ProcessGone(it)) }
        }
    }

    private fun isGone(process: Incarnation, listed: Set<InstanceId>): Boolean {
        if (process.instance in listed) return exchange.isReplaced(process)
        val since = absentSince.getOrPut(process.instance) { clock.now() }
        return clock.now() >= since.plusMilliseconds(LIST_LAG_MILLISECONDS)
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 500L
        const val LIST_LAG_MILLISECONDS = 3_000L
    }
}
