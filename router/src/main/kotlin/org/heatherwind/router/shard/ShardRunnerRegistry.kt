package org.heatherwind.router.shard

import kotlinx.coroutines.CoroutineScope
import org.heatherwind.core.owner.OwnerEvent
import java.util.concurrent.ConcurrentHashMap

/** The runners of the ledger shards that this router follows. A runner is created and started on first use. */
public class ShardRunnerRegistry(private val scope: CoroutineScope, private val create: (shard: Int) -> ShardRunner) {
    private val runners = ConcurrentHashMap<Int, ShardRunner>()

    /** The runners of all followed shards, ordered by shard number. */
    public val followedShards: Map<Int, ShardRunner> get() = runners.toSortedMap()

    /** Returns the runner of [shard], and starts it if the shard is not yet followed. */
    public fun getOrStart(shard: Int): ShardRunner =
        runners.computeIfAbsent(shard) { create(it).also { runner -> runner.start(scope) } }

    /** Returns the runner of [shard], or null if the shard is not followed. */
    public fun findRunning(shard: Int): ShardRunner? = runners[shard]

    /** Sends [event] to every followed shard whose state was loaded. */
    public suspend fun sendToAll(event: OwnerEvent) {
        runners.values.filter { it.state != null }.forEach { it.send(event) }
    }
}
