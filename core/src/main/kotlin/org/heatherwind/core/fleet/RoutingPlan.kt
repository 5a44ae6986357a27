package org.heatherwind.core.fleet

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.work.Repeatability

/**
 * One version of what operators configured.
 *
 * @property version grows with every change, in uneven steps
 */
public data class RoutingPlan(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<ServiceId, ServiceProfile>,
    val customers: ImmutableList<Customer>,
    val limits: CallerLimits,
)

/**
 * Where requests of one host and path prefix go, and how.
 *
 * @property pathPrefix begins and ends with a slash
 * @property destinations services with their shares; the shares need not add up to a fixed sum
 * @property isStream whether answers are streams of events
 * @property timeoutMilliseconds longest time that the operator wants a caller kept waiting
 * @property latencyObjectiveMilliseconds time within which an answer earns its full worth
 * @property pauseObjectiveMilliseconds longest pause between events of a stream that is still on time, or null
 * @property priority rank among routes; 0 is the most urgent
 * @property maximumTargets targets to which one request may be sent
 * @property isPublic whether callers need no key
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

/** A share of a route's requests: [weight] of the sum of the route's weights. */
public data class Destination(val service: ServiceId, val weight: Double)

/**
 * What operators say about a service.
 *
 * @property maximumConnections connections that one target accepts from all routers together
 * @property engine the engine's figures, or null for a plain service
 */
public data class ServiceProfile(val name: ServiceId, val maximumConnections: Int, val engine: EngineProfile? = null)

/**
 * Figures of a model engine.
 *
 * @property slots requests that run at once
 * @property cacheCapacityTokens memory for running requests and cached prompt parts together
 * @property tokensPerEvent tokens in one event of a stream at most
 */
public data class EngineProfile(val slots: Int, val cacheCapacityTokens: Long, val tokensPerEvent: Int)

/**
 * Who pays for requests.
 *
 * @property keys each admits this customer's requests
 * @property priority rank that goes before the route's, or null
 * @property prepaidTokens tokens that may be consumed in all, or null where nothing is prepaid
 */
public data class Customer(
    val id: CustomerId,
    val keys: ImmutableList<String> = persistentListOf(),
    val priority: Int? = null,
    val prepaidTokens: Long? = null,
)

/** Bounds on what a caller may send, and how long it may take. */
public data class CallerLimits(
    val maximumHeaderBytes: Int = 16_384,
    val maximumBodyBytes: Int = 4_194_304,
    val headerTimeoutMilliseconds: Long = 3_000,
    val idleTimeoutMilliseconds: Long = 15_000,
)
