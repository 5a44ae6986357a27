package org.heatherwind.gateway.state

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.retry.RetryThrottle
import org.heatherwind.core.retry.RetryThrottleLimits

/** Limits the retries of each service to this router's share of the limit of the fleet. */
internal class RetryThrottles(private val limits: RetryThrottleLimits, private val routerCount: () -> Int) {
    private val throttles = HashMap<ServiceId, RetryThrottle>()

    /** Largest number of routers seen so far; a router that stopped reporting may still use its share of retries. */
    private var maximumRouters = 1

    /** Counts the first attempt of a request to [service] at [now]. */
    fun recordFirstAttempt(service: ServiceId, now: MonotonicTime): Unit = of(service).recordFirstAttempt(now)

    /** Takes one retry for [service] at [now]. Returns false if this router's share is exhausted. */
    fun tryAcquire(service: ServiceId, now: MonotonicTime): Boolean = of(service).tryAcquire(now, routers())

    /** Returns whether [tryAcquire] would succeed for [service] at [now]. */
    fun isAvailable(service: ServiceId, now: MonotonicTime): Boolean = of(service).isAvailable(now, routers())

    private fun routers(): Int {
        maximumRouters = maxOf(maximumRouters, routerCount())
        return maximumRouters
    }

    private fun of(service: ServiceId) = throttles.getOrPut(service) { RetryThrottle(limits) }
}
