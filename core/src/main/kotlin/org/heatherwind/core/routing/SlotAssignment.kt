package org.heatherwind.core.routing

import org.heatherwind.core.configuration.TargetDefinition
import org.heatherwind.core.identity.InstanceId

/**
 * Assigns each slot of a target to one router by rendezvous hashing, without messages between routers. Routers with the
 * same list of routers never assign a slot to two of them.
 */
public object SlotAssignment {
    /** Returns the number of slots of [target] that are assigned to [self] among [routers]. */
    public fun slotsOf(target: TargetDefinition, self: InstanceId, routers: List<InstanceId>): Int =
        (0 until target.slots).count { slot ->
            Rendezvous.rank("${target.name}#$slot", routers) { it.value }.firstOrNull() == self
        }
}
