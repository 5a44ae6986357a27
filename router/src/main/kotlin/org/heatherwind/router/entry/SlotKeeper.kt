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

/** Hands out slots of targets, and waits for one to come free. */
internal class SlotKeeper(private val self: InstanceId, private val membership: Membership) {
    private val loads = MutableStateFlow(TargetLoads())
    private val offers = OfferCache()

    /** Requests in flight on each target. */
    val present: TargetLoads get() = loads.value

    /** Takes a slot of one of [targets] that is not [excluded]; null when none came free in [waitMilliseconds]. */
    suspend fun take(
        targets: List<TargetDefinition>,
        excluded: Set<TargetId>,
        waitMilliseconds: Long,
    ): TargetDefinition? = withTimeoutOrNull(waitMilliseconds) {
        var taken = tryTake(targets, excluded)
        while (taken == null) {
            val seen = loads.value
            withTimeoutOrNull(RECHECK_MILLISECONDS) { loads.first { it != seen } }
            taken = tryTake(targets, excluded)
        }
        taken
    }

    fun release(target: TargetId) {
        loads.update { it.releasing(target) }
    }

    private fun tryTake(targets: List<TargetDefinition>, excluded: Set<TargetId>): TargetDefinition? {
        val routers = membership.live.map { it.instance }
        val offered = targets.map { offers.of(it, routers) }
        var chosen: TargetDefinition? = null
        loads.getAndUpdate { present ->
            chosen = TargetChoice.choose(offered, present, excluded)
            chosen?.let { present.taking(it.name) } ?: present
        }
        return chosen
    }

    private inner class OfferCache {
        private var routers: List<InstanceId> = emptyList()
        private var offers: Map<TargetDefinition, OfferedTarget> = emptyMap()

        @Synchronized
        fun of(target: TargetDefinition, present: List<InstanceId>): OfferedTarget {
            if (present != routers) {
                routers = present
                offers = emptyMap()
            }
            return offers[target] ?: OfferedTarget(target, SlotAssignment.slotsOf(target, self, present)).also {
                offers = offers + (target to it)
            }
        }
    }

    private companion object {
        const val RECHECK_MILLISECONDS = 100L
    }
}
