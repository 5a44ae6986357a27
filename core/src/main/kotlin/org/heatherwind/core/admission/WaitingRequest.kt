package org.heatherwind.core.admission

import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicTime

/**
 * A request that waits at a router for a target that takes it.
 *
 * @property rank rank among requests; 0 is the most urgent
 * @property customer whose request it is, or null
 * @property until when waiting no longer helps
 * @property arrivedAt when the request arrived at this router
 * @property wasRefused whether the same request was refused here a moment ago
 * @property isRestricted whether it has tried some target, so that another may find one where it finds none
 */
public class WaitingRequest(
    public val rank: Int,
    public val customer: CustomerId?,
    public val until: MonotonicTime,
    public val arrivedAt: MonotonicTime,
    public val wasRefused: Boolean = false,
    public val isRestricted: Boolean = false,
) {
    /** How many requests of its customer go before it, counted from when the customer last had none waiting. */
    internal var turn: Long? = null
}
