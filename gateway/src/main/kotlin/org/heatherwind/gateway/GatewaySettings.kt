package org.heatherwind.gateway

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.InstanceId
import java.net.InetSocketAddress

/**
 * Settings of one router process.
 *
 * @property drainMilliseconds time between the stop signal and the forced end of the process
 * @property peerAddress address on which this router listens for calls from other routers, or null for no listener
 * @property retryRatio retries that the whole fleet may send per first attempt, for each service
 * @property retryBase retries that the whole fleet may send per window regardless of first attempts
 * @property partitionsPerStream number of partitions that the store has for each stream
 * @property exposureLimit share of a service's requests that a new version may get before its roll-out is completed
 * @property targetDrainMilliseconds time from the entry of a target that drains until it may get no more requests
 * @property dataCentre where this router runs, or null if that is not known
 * @property coldOverage factor by which the requests per second of a cold target may exceed what it bears
 * @property coldSlack requests that a cold target may get beside that in any second
 * @property evacuationMilliseconds time from the order to evacuate a data centre until its targets get no more requests
 * @property relayAddress address on which this router connects others to targets, or null if it does not
 */
public data class GatewaySettings(
    val instance: InstanceId,
    val callerAddress: InetSocketAddress,
    val readinessAddress: InetSocketAddress,
    val metricsAddress: InetSocketAddress?,
    val peerAddress: InetSocketAddress?,
    val memoryMegabytes: Int,
    val drainMilliseconds: Long,
    val retryRatio: Double,
    val retryBase: Double,
    val retryWindowMilliseconds: Long,
    val partitionsPerStream: Int,
    val targetDrainMilliseconds: Long = 2_000,
    val exposureLimit: Double = 0.1,
    val dataCentre: DataCentreId? = null,
    val coldOverage: Double = 1.0,
    val coldSlack: Double = 0.0,
    val evacuationMilliseconds: Long = 5_000,
    val relayAddress: InetSocketAddress? = null,
)

/**
 * The addresses on which a router process listens, with the ports that were bound.
 *
 * @property metrics null if the settings name no address for metrics
 */
public data class BoundAddresses(
    val callers: InetSocketAddress,
    val readiness: InetSocketAddress,
    val metrics: InetSocketAddress?,
)
