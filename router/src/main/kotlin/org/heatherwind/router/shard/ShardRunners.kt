package org.heatherwind.router.shard

import kotlinx.coroutines.CoroutineScope
import org.heatherwind.core.owner.OwnerEvent
import java.util.concurrent.ConcurrentHashMap

/** The ledger shards that this router follows; each is followed from the first time that it is asked for. */
public class ShardRunners(private val scope: CoroutineScope, private val create: (shard: Int) -> ShardRunner) {
    private val runners = ConcurrentHashMap<Int, ShardRunner>()

    /** The runners of all followed shards, by shard. */
    public val followed: Map<Int, ShardRunner> get() = runners.toSortedMap()

    /** The runner of [shard]. */
    public fun of(shard: Int): ShardRunner =
        runners.computeIfAbsent(shard) { create(it).also { runner -> runner.start(scope) } }

    /** The runner of [shard] if it is followed. */
    public fun ifRunning(shard: Int): ShardRunner? = runners[shard]

    /** Sends [event] to every followed shard. */
    public suspend fun sendToAll(event: OwnerEvent) {
        runners.values.filter { it.state != null }.forEach { it.send(event) }
    }
}
