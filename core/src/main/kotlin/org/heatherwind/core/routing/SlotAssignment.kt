package org.heatherwind.core.routing

import org.heatherwind.core.configuration.TargetDefinition
import org.heatherwind.core.identity.InstanceId

/**
 * Gives each slot of a target to one router by rendezvous hashing, without a message. Routers that see the same
 * members together use no slot twice.
 */
public object SlotAssignment {
    /** The number of slots of [target] that [self] may use among [routers]. */
    public fun slotsOf(target: TargetDefinition, self: InstanceId, routers: List<InstanceId>): Int =
        (0 until target.slots).count { slot ->
            Rendezvous.rank("${target.name}#$slot", routers) { it.value }.firstOrNull() == self
        }
}
