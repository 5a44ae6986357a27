package org.heatherwind.gateway.serve

import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.work.WorkRequest
import kotlin.random.Random

/** Chooses one of a route's services at random in proportion to their weights, or null if the route has none. */
internal object DestinationChoice {
    fun choose(work: WorkRequest): ServiceId? {
        val destinations = work.route.destinations
        if (destinations.size <= 1) return destinations.firstOrNull()?.service
        var remainingWeight = Random.nextDouble() * destinations.sumOf { it.weight }
        for (destination in destinations) {
            remainingWeight -= destination.weight
            if (remainingWeight < 0) return destination.service
        }
        return destinations.last().service
    }
}
