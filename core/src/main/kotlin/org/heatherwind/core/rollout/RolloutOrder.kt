package org.heatherwind.core.rollout

import org.heatherwind.core.identity.ServiceId

/**
 * An operator's order to move the requests of a service to another version of its targets.
 *
 * @property offset position of the order among all orders, which identifies it: the same version ordered again is a
 *   new roll-out
 * @property durationMilliseconds time from the order to its deadline
 */
public data class RolloutOrder(
    val service: ServiceId,
    val targetVersion: String,
    val offset: Long,
    val durationMilliseconds: Long,
)
