package org.heatherwind.gateway

import org.heatherwind.core.identity.InstanceId
import java.net.InetSocketAddress

/**
 * Settings of one router process.
 *
 * @property drainMilliseconds time between the stop signal and the forced end of the process
 * @property peerAddress where this router accepts calls of other routers, or null if it accepts none
 * @property retryRatio retries that the whole fleet may send per first attempt, for each service
 * @property retryBase retries that the whole fleet may send per window regardless of first attempts
 * @property budgetPartitions number of partitions that the store has for each stream
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
    val budgetPartitions: Int,
)
