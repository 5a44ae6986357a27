package org.heatherwind.core.fleet

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.work.Repeatability

/**
 * One version of the operators' configuration.
 *
 * @property version increases with every change, but not always by one
 */
public data class RoutingPlan(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<ServiceId, ServiceProfile>,
    val customers: ImmutableList<Customer>,
    val limits: CallerLimits,
) {
    /** Whether the requests to model engines differ in rank. */
    public val isRanked: Boolean get() = engineRanks.size > 1

    /** The distinct ranks of requests to model engines, in order. A customer's rank replaces the route's. */
    public val engineRanks: List<Int> by lazy {
        val generationRoutes = routes.filter { route ->
            route.destinations.any { services[it.service]?.engine != null }
        }
        val ranks = generationRoutes.flatMapTo(HashSet()) { route ->
            val ofCustomers = customers.map { it.priority ?: route.priority }
            if (route.isPublic || customers.isEmpty()) ofCustomers + route.priority else ofCustomers
        }
        ranks.sorted()
    }
}

/**
 * Rules for the requests of one host and path prefix.
 *
 * @property pathPrefix begins and ends with a slash
 * @property destinations services with their weights, which need not add up to a fixed sum
 * @property repeatability whether a request may run again
 * @property isStream whether responses are streams of events
 * @property timeoutMilliseconds time from the arrival of a request to its deadline, if the caller sets no earlier one
 * @property latencyObjectiveMilliseconds time within which a response meets the latency objective
 * @property pauseObjectiveMilliseconds longest pause between events of a stream that meets the objective, or null
 * @property priority rank among routes; 0 is the most urgent
 * @property maximumTargets largest number of targets to which one request may be sent
 * @property isPublic whether callers need no API key
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val destinations: ImmutableList<Destination>,
    val repeatability: Repeatability,
    val isStream: Boolean = false,
    val timeoutMilliseconds: Long,
    val latencyObjectiveMilliseconds: Long,
    val pauseObjectiveMilliseconds: Long? = null,
    val priority: Int = 0,
    val maximumTargets: Int = 1,
    val isPublic: Boolean = false,
)

/** A service that receives a share of a route's requests: [weight] divided by the sum of the route's weights. */
public data class Destination(val service: ServiceId, val weight: Double)

/**
 * Configuration of a service.
 *
 * @property maximumConnections connections that one target accepts from all routers together
 * @property engine capacity of the model engine, or null for a plain service
 * @property coldRequestsPerSecond requests per second that a cold target bears from all routers together, or null if
 *   there is no such limit
 */
public data class ServiceProfile(
    val name: ServiceId,
    val maximumConnections: Int,
    val engine: EngineProfile? = null,
    val coldRequestsPerSecond: Double? = null,
)

/**
 * Capacity of a model engine.
 *
 * @property slots requests that run concurrently
 * @property cacheCapacityTokens size of the cache that running requests and cached prompt parts share
 * @property tokensPerEvent largest number of tokens in one event of a stream
 */
public data class EngineProfile(val slots: Int, val cacheCapacityTokens: Long, val tokensPerEvent: Int)

/**
 * A customer, to whom requests are charged.
 *
 * @property keys API keys, each of which admits requests of this customer
 * @property priority rank that replaces the route's, or null
 * @property prepaidTokens total number of tokens that may be consumed, or null if the customer does not prepay
 */
public data class Customer(
    val id: CustomerId,
    val keys: ImmutableList<String> = persistentListOf(),
    val priority: Int? = null,
    val prepaidTokens: Long? = null,
)

/** Limits on the size of a caller's requests and on the time to send them. */
public data class CallerLimits(
    val maximumHeaderBytes: Int = 16_384,
    val maximumBodyBytes: Int = 4_194_304,
    val headerTimeoutMilliseconds: Long = 3_000,
    val idleTimeoutMilliseconds: Long = 15_000,
)
