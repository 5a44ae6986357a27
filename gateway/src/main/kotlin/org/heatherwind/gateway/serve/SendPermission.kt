package org.heatherwind.gateway.serve

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.gateway.state.RetryThrottles

/**
 * Decides whether one request may be sent to a target of [service]. What was allowed before a wait may not be after it.
 *
 * @param isBlocked whether the content of the request must not be sent to targets now
 */
internal class SendPermission(
    private val service: ServiceId,
    private val retries: RetryThrottles,
    private val clock: MonotonicClock,
    private val isBlocked: () -> Boolean,
) {
    /** Returns whether it is of use to look for a target. Spends nothing. */
    fun mayLook(isFirst: Boolean): Boolean = !isBlocked() && (isFirst || retries.isAvailable(service, clock.now()))

    /** Returns whether the request may be sent to the target that was found now; spends a retry unless it [isFirst]. */
    fun tryAcquire(isFirst: Boolean): Boolean = when {
        isBlocked() -> false
        isFirst -> true.also { retries.recordFirstAttempt(service, clock.now()) }
        else -> retries.tryAcquire(service, clock.now())
    }
}
