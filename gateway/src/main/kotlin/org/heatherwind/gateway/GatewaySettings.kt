package org.heatherwind.gateway

import org.heatherwind.core.identity.InstanceId
import java.net.InetSocketAddress

/**
 * What one router process needs to know from its settings.
 *
 * @property drainMilliseconds time between the order to stop and the forced end
 * @property peerAddress where other routers ask for tokens, or null where none do
 * @property retryRatio further sends that the fleet may make for each first send, by service
 * @property retryBase further sends that the fleet may make in each window without first sends
 * @property budgetPartitions partitions that the store keeps for each stream
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
