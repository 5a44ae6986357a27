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

/** The routers of the fleet as the instance list shows them; this router itself always counts as live. */
public class Membership(private val self: ListedInstance, private val list: InstanceList) {
    /** The instances last read, in order of name. */
    @Volatile
    public var instances: List<ListedInstance> = listOf(self)
        private set

    /** Whether the list was read at least once. */
    @Volatile
    public var isKnown: Boolean = false
        private set

    /** Live routers of the fleet. */
    public val live: List<ListedInstance> get() = instances.filter { it.condition == InstanceCondition.LIVE }

    /** Live routers of [dataCentre]. */
    public fun liveIn(dataCentre: DataCentreId): List<ListedInstance> = live.filter { it.dataCentre == dataCentre }

    /** Routers of this data centre in the order in which they should be home of [shard]. */
    public fun homesOf(shard: Int): List<ListedInstance> =
        Rendezvous.rank("shard-$shard", liveIn(self.dataCentre)) { it.instance.value }

    /** Whether [instance] is this router's. */
    public fun isSelf(instance: InstanceId): Boolean = instance == self.instance

    /** Reads the list until cancelled. */
    public suspend fun run() {
        while (true) {
            refresh()
            delay(REFRESH_MILLISECONDS)
        }
    }

    /** Reads the list once; on a failure the last one stays. */
    public suspend fun refresh() {
        when (val read = list.read()) {
            is Either.Left -> logger.warn { "membership: the instance list does not answer: ${read.value.detail}" }
            is Either.Right -> accept(read.value)
        }
    }

    private fun accept(listed: List<ListedInstance>) {
        instances = (listed.filter { it.instance != self.instance } + self).sortedBy { it.instance.value }
        isKnown = true
    }

    private companion object {
        const val REFRESH_MILLISECONDS = 1_000L
    }
}
