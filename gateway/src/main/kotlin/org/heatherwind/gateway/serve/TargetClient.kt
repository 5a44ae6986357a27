package org.heatherwind.gateway.serve

import io.netty.channel.EventLoop
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.ConnectionPool
import org.heatherwind.gateway.http.TrafficCounter
import org.heatherwind.gateway.relay.Relays
import org.heatherwind.gateway.relay.TargetConnector
import org.heatherwind.gateway.relay.TunnelClient
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import java.net.InetSocketAddress

/** Opens and reuses connections to targets, directly or through other routers. */
internal class TargetClient(
    eventLoop: EventLoop,
    private val clock: MonotonicClock,
    log: DecisionLog,
    metrics: GatewayMetrics,
    private val relayAddresses: () -> List<InetSocketAddress>,
    traffic: TrafficCounter = TrafficCounter(),
    onConnected: (Long) -> Unit = {},
) {
    private val connections = ConnectionPool(eventLoop, clock, traffic)

    /** Holds idle connections that lead through other routers. */
    private val relayed = ConnectionPool(eventLoop, clock)
    private val connector = TargetConnector(
        direct = connections,
        tunnels = TunnelClient(eventLoop, clock),
        relays = Relays(clock, relayAddresses),
        clock = clock,
        log = log,
        metrics = metrics,
        onConnected = onConnected,
    )

    /** Connections opened since the start of the process. */
    val openedCount: Long get() = connections.openedCount

    /** Whether no target can be reached directly. */
    val isCutOff: Boolean get() = connector.isCutOff

    /** Looks at intervals, while cut off, whether one of [targets] can be reached again. Runs until cancelled. */
    suspend fun runProbes(targets: () -> Collection<InetSocketAddress>): Unit = connector.runProbes(targets)

    /**
     * Returns a connection to [target], or null if none could be established. A request that may run at most once uses
     * a new or recently used connection, since the failure of a stale one would leave its outcome unknown. Connections
     * in [excluded] are not reused.
     */
    suspend fun connect(
        target: TargetLoad,
        isRepeatable: Boolean,
        excluded: Set<ClientConnection> = emptySet(),
    ): ClientConnection? {
        val maximumIdle = if (isRepeatable) MAXIMUM_IDLE_MILLISECONDS else MAXIMUM_IDLE_NOT_REPEATABLE_MILLISECONDS
        val address = addressOf(target)
        val usableSince = clock.now().plusMilliseconds(-maximumIdle)
        val idle = acquireIdle(address, usableSince)
        if (idle != null && idle in excluded) idle.close()
        return idle?.takeUnless { it in excluded } ?: connector.connect(target.entry.id, address)
    }

    private fun acquireIdle(address: InetSocketAddress, usableSince: MonotonicTime): ClientConnection? =
        if (connector.isCutOff) acquireRelayed(address, usableSince) else connections.acquireIdle(address, usableSince)

    /** Returns an idle connection to [address] through a router that still offers to connect, or null. */
    private fun acquireRelayed(address: InetSocketAddress, usableSince: MonotonicTime): ClientConnection? {
        while (true) {
            val connection = relayed.acquireIdle(address, usableSince) ?: return null
            if (connection.channel.remoteAddress() in relayAddresses()) return connection
            connection.close()
        }
    }

    /** Returns whether the host of [target] refuses a new connection, since no process listens there. */
    suspend fun isRefusing(target: TargetLoad): Boolean = connector.isRefusing(addressOf(target))

    /** Returns [connection] to the pool if the response is complete and it can be reused, and closes it otherwise. */
    fun release(target: TargetLoad, connection: ClientConnection, isComplete: Boolean) {
        if (isComplete && connection.finish()) {
            poolOf(connection).release(connection, addressOf(target))
        } else {
            connection.close()
        }
    }

    /** Closes idle connections to [target]. */
    fun closeIdle(target: TargetLoad): Unit = pools.forEach { it.closeIdle(addressOf(target)) }

    /** Closes connections that were idle for longer than [MAXIMUM_IDLE_MILLISECONDS]. */
    fun closeUnused() {
        val usableSince = clock.now().plusMilliseconds(-MAXIMUM_IDLE_MILLISECONDS)
        pools.forEach { it.closeUnused(usableSince) }
    }

    private val pools: List<ConnectionPool> get() = listOf(connections, relayed)

    private fun poolOf(connection: ClientConnection) = if (connection.isRelayed) relayed else connections

    private fun addressOf(target: TargetLoad) = InetSocketAddress(target.entry.host, target.entry.port)

    private companion object {
        /** Targets close connections that are idle for more than some seconds. */
        const val MAXIMUM_IDLE_MILLISECONDS = 3_000L

        /** Some targets drop connections that were idle for a third of a second without closing them. */
        const val MAXIMUM_IDLE_NOT_REPEATABLE_MILLISECONDS = 250L
    }
}
