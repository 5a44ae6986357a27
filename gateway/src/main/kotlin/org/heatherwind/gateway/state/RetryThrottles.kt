package org.heatherwind.gateway.state

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.retry.RetryThrottle
import org.heatherwind.core.retry.RetryThrottleLimits

/** This router's part of each service's allowance for further sends. */
internal class RetryThrottles(private val bounds: RetryThrottleLimits, private val routers: () -> Int) {
    private val throttles = HashMap<ServiceId, RetryThrottle>()

    /** The most routers that were seen; one that falls silent may still send its part. */
    private var mostRouters = 1

    fun recordFirstAttempt(service: ServiceId, now: MonotonicTime): Unit = of(service).recordFirstAttempt(now)

    fun tryAcquire(service: ServiceId, now: MonotonicTime): Boolean {
        mostRouters = maxOf(mostRouters, routers())
        return of(service).tryAcquire(now, mostRouters)
    }

    private fun of(service: ServiceId) = throttles.getOrPut(service) { RetryThrottle(bounds) }
}
