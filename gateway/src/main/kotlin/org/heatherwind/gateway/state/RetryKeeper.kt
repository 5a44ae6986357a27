package org.heatherwind.gateway.state

import org.heatherwind.core.identity.Moment
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.retry.RetryAllowance

/** This router's part of each service's allowance for further sends. */
internal class RetryKeeper(private val newAllowance: () -> RetryAllowance) {
    private val allowances = HashMap<ServiceId, RetryAllowance>()

    fun recordFirst(service: ServiceId, now: Moment): Unit = of(service).recordFirst(now)

    fun tryTake(service: ServiceId, now: Moment): Boolean = of(service).tryTake(now)

    private fun of(service: ServiceId) = allowances.getOrPut(service) { newAllowance() }
}
