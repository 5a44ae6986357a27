package org.heatherwind.core.rollout

import org.heatherwind.core.identity.ServiceId

/**
 * An operator's order to move the requests of a service to another version of its targets.
 *
 * @property offset position of the order among all orders, which identifies it: the same version ordered again is a
 *   new roll-out. [NO_OFFSET] while the store, which came back from a copy, has not shown the order again
 * @property durationMilliseconds time from the order to its deadline
 */
public data class RolloutOrder(
    val service: ServiceId,
    val targetVersion: String,
    val offset: Long,
    val durationMilliseconds: Long,
) {
    /** Returns whether this order asks for the same as [other], wherever they are stored. */
    public fun isSameAs(other: RolloutOrder): Boolean = copy(offset = other.offset) == other

    public companion object {
        /** Lower than any offset. */
        public const val NO_OFFSET: Long = -1
    }
}
