package org.heatherwind.gateway.state

import org.heatherwind.core.identity.Moment
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.retry.RetryAllowance
import org.heatherwind.core.retry.RetryBounds

/** This router's part of each service's allowance for further sends. */
internal class RetryKeeper(private val bounds: RetryBounds, private val routers: () -> Int) {
    private val allowances = HashMap<ServiceId, RetryAllowance>()

    /** The most routers that were seen; one that falls silent may still send its part. */
    private var mostRouters = 1

    fun recordFirst(service: ServiceId, now: Moment): Unit = of(service).recordFirst(now)

    fun tryTake(service: ServiceId, now: Moment): Boolean {
        mostRouters = maxOf(mostRouters, routers())
        return of(service).tryTake(now, mostRouters)
    }

    private fun of(service: ServiceId) = allowances.getOrPut(service) { RetryAllowance(bounds) }
}
