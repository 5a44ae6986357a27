package org.heatherwind.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.configuration.TargetDefinition
import org.heatherwind.core.identity.TargetId

/**
 * This router's in-flight requests on each target.
 *
 * @property inFlight number of requests that hold a slot, by target; targets without requests have no entry
 */
public data class TargetLoads(val inFlight: PersistentMap<TargetId, Int> = persistentHashMapOf()) {
    /** Returns the number of in-flight requests on [target]. */
    public fun of(target: TargetId): Int = inFlight[target] ?: 0

    /** Returns these loads with one more request on [target]. */
    public fun withRequestAdded(target: TargetId): TargetLoads = TargetLoads(inFlight.put(target, of(target) + 1))

    /** Returns these loads with one request fewer on [target]. */
    public fun withRequestRemoved(target: TargetId): TargetLoads =
        TargetLoads(if (of(target) <= 1) inFlight.remove(target) else inFlight.put(target, of(target) - 1))
}

/** A target with the number of its [slots] that this router may use. */
public data class OfferedTarget(val definition: TargetDefinition, val slots: Int)

/** Chooses a target that has a free slot for this router. */
public object TargetChoice {
    /** Returns the target outside [excluded] with the smallest share of slots in use, or null if none has one free. */
    public fun choose(
        targets: List<OfferedTarget>,
        loads: TargetLoads,
        excluded: Set<TargetId> = emptySet(),
    ): TargetDefinition? = targets
        .filter { it.definition.name !in excluded && loads.of(it.definition.name) < it.slots }
        .minByOrNull { loads.of(it.definition.name).toDouble() / it.slots }
        ?.definition
}
