package org.heatherwind.router.peer

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.heatherwind.clients.instances.InstanceCondition
import org.heatherwind.clients.instances.InstanceList
import org.heatherwind.clients.instances.ListedInstance
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.routing.Rendezvous

private val logger = KotlinLogging.logger("membership")

/** The routers of the fleet according to the instance list; this router itself always counts as live. */
public class Membership(private val self: ListedInstance, private val instanceList: InstanceList) {
    /** The instances last read, ordered by name. */
    @Volatile
    public var instances: List<ListedInstance> = listOf(self)
        private set

    /** Whether the instance list was read at least once. */
    @Volatile
    public var isLoaded: Boolean = false
        private set

    /** The live routers of the fleet. */
    public val live: List<ListedInstance> get() = instances.filter { it.condition == InstanceCondition.LIVE }

    /** Returns the live routers of [dataCentre]. */
    public fun liveIn(dataCentre: DataCentreId): List<ListedInstance> = live.filter { it.dataCentre == dataCentre }

    /**
     * Returns the live routers of this data centre, ordered by preference as owner of [shard]. The order is a
     * rendezvous ranking.
     */
    public fun ownersOf(shard: Int): List<ListedInstance> =
        Rendezvous.rank("shard-$shard", liveIn(self.dataCentre)) { it.instance.value }

    /** Returns whether [instance] is this router's own. */
    public fun isSelf(instance: InstanceId): Boolean = instance == self.instance

    /** Reads the instance list periodically until cancelled. */
    public suspend fun run() {
        while (true) {
            refresh()
            delay(REFRESH_INTERVAL_MILLISECONDS)
        }
    }

    /** Reads the instance list once; after a failure the previous one stays in use. */
    public suspend fun refresh() {
        when (val read = instanceList.read()) {
            is Either.Left -> logger.warn { "membership: reading the instance list failed: ${read.value.detail}" }
            is Either.Right -> accept(read.value)
        }
    }

    private fun accept(listed: List<ListedInstance>) {
        instances = (listed.filter { it.instance != self.instance } + self).sortedBy { it.instance.value }
        isLoaded = true
    }

    private companion object {
        const val REFRESH_INTERVAL_MILLISECONDS = 1_000L
    }
}
