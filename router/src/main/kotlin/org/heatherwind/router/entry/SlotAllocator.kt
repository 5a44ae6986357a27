package org.heatherwind.router.entry

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.configuration.TargetDefinition
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.routing.OfferedTarget
import org.heatherwind.core.routing.SlotAssignment
import org.heatherwind.core.routing.TargetChoice
import org.heatherwind.core.routing.TargetLoads
import org.heatherwind.router.peer.Membership

/** Allocates this router's slots on targets to requests, and waits for a free one. */
internal class SlotAllocator(private val self: InstanceId, private val membership: Membership) {
    private val loadState = MutableStateFlow(TargetLoads())
    private val offeredTargets = OfferedTargetCache()

    /** The in-flight requests of this router on each target. */
    val loads: TargetLoads get() = loadState.value

    /**
     * Acquires a slot on one of [targets] that is not [excluded] and returns that target, or null if no slot became
     * free within [waitMilliseconds]. The caller must [release] the slot.
     */
    suspend fun acquire(
        targets: List<TargetDefinition>,
        excluded: Set<TargetId>,
        waitMilliseconds: Long,
    ): TargetDefinition? = withTimeoutOrNull(waitMilliseconds) {
        var acquired = tryAcquire(targets, excluded)
        while (acquired == null) {
            val previousLoads = loadState.value
            withTimeoutOrNull(RECHECK_INTERVAL_MILLISECONDS) { loadState.first { it != previousLoads } }
            acquired = tryAcquire(targets, excluded)
        }
        acquired
    }

    /** Releases a slot on [target]. */
    fun release(target: TargetId) {
        loadState.update { it.withRequestRemoved(target) }
    }

    private fun tryAcquire(targets: List<TargetDefinition>, excluded: Set<TargetId>): TargetDefinition? {
        val routers = membership.live.map { it.instance }
        val offered = targets.map { offeredTargets.of(it, routers) }
        var chosen: TargetDefinition? = null
        loadState.getAndUpdate { current ->
            chosen = TargetChoice.choose(offered, current, excluded)
            chosen?.let { current.withRequestAdded(it.name) } ?: current
        }
        return chosen
    }

    /** Caches the slots that this router may use on each target, until the list of live routers changes. */
    private inner class OfferedTargetCache {
        private var cachedRouters: List<InstanceId> = emptyList()
        private var offered: Map<TargetDefinition, OfferedTarget> = emptyMap()

        @Synchronized
        fun of(target: TargetDefinition, routers: List<InstanceId>): OfferedTarget {
            if (routers != cachedRouters) {
                cachedRouters = routers
                offered = emptyMap()
            }
            return offered[target] ?: OfferedTarget(target, SlotAssignment.slotsOf(target, self, routers)).also {
                offered = offered + (target to it)
            }
        }
    }

    private companion object {
        /** A change of the live routers, which can also free a slot, does not change the loads. */
        const val RECHECK_INTERVAL_MILLISECONDS = 100L
    }
}
