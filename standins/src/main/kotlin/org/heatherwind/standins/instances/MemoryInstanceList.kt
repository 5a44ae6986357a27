package org.heatherwind.standins.instances

import arrow.core.Either
import arrow.core.right
import org.heatherwind.clients.instances.InstanceList
import org.heatherwind.clients.instances.InstanceListFailure
import org.heatherwind.clients.instances.ListedInstance
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.identity.WallClock
import java.util.concurrent.ConcurrentLinkedDeque

/** An in-memory instance list on which each change becomes visible after [lagMilliseconds]. */
public class MemoryInstanceList(
    private val lagMilliseconds: Long = 0,
    private val clock: WallClock = WallClock.system,
) : InstanceList {
    private val versions = ConcurrentLinkedDeque(listOf(Version(Timestamp(0), emptyMap())))

    override suspend fun read(): Either<InstanceListFailure, List<ListedInstance>> {
        val visibleAt = clock.now().plusMilliseconds(-lagMilliseconds)
        return versions.last { it.since <= visibleAt || it.since == Timestamp(0) }.instances.values.toList().right()
    }

    /** Adds or replaces [instance]. */
    @Synchronized
    public fun put(instance: ListedInstance) {
        change { it + (instance.instance to instance) }
    }

    /** Removes [instance]. */
    @Synchronized
    public fun remove(instance: InstanceId) {
        change { it - instance }
    }

    private fun change(change: (Map<InstanceId, ListedInstance>) -> Map<InstanceId, ListedInstance>) {
        versions += Version(clock.now(), change(versions.last.instances))
        while (versions.size > RETAINED_VERSIONS) versions.removeFirst()
    }

    private class Version(val since: Timestamp, val instances: Map<InstanceId, ListedInstance>)

    private companion object {
        const val RETAINED_VERSIONS = 1_000
    }
}
