package org.heatherwind.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.configuration.TargetDefinition
import org.heatherwind.core.identity.TargetId

/**
 * This router's requests in flight on each target.
 *
 * @property inFlight requests that hold a slot
 */
public data class TargetLoads(val inFlight: PersistentMap<TargetId, Int> = persistentHashMapOf()) {
    /** Requests in flight on [target]. */
    public fun of(target: TargetId): Int = inFlight[target] ?: 0

    /** These loads with one more request on [target]. */
    public fun taking(target: TargetId): TargetLoads = TargetLoads(inFlight.put(target, of(target) + 1))

    /** These loads with one request fewer on [target]. */
    public fun releasing(target: TargetId): TargetLoads =
        TargetLoads(if (of(target) <= 1) inFlight.remove(target) else inFlight.put(target, of(target) - 1))
}

/** Chooses a target whose share of slots for this router is not used up. */
public object TargetChoice {
    /** The least loaded of [targets] that has a slot free among [routers] equal routers, or null. */
    public fun choose(
        targets: List<TargetDefinition>,
        loads: TargetLoads,
        routers: Int,
        excluded: Set<TargetId> = emptySet(),
    ): TargetDefinition? =
        targets
            .filter { it.name !in excluded && loads.of(it.name) < slotShare(it.slots, routers) }
            .minByOrNull { loads.of(it.name).toDouble() / it.slots }

    /** Slots of a target that one of [routers] routers may use, so that all together stay within [slots]. */
    public fun slotShare(slots: Int, routers: Int): Int = slots / maxOf(routers, 1)
}
