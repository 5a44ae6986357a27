package org.heatherwind.gateway.serve

import io.netty.channel.EventLoop
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.ConnectionPool
import java.net.InetSocketAddress

/** Opens and reuses connections to targets. */
internal class TargetClient(eventLoop: EventLoop, private val clock: MonotonicClock) {
    private val connections = ConnectionPool(eventLoop, clock)

    /** Connections opened since the start of the process. */
    val openedCount: Long get() = connections.openedCount

    /**
     * Returns a connection to [target], or null if none could be established. A request that may run at most once uses
     * a new or recently used connection, since the failure of a stale one would leave its outcome unknown.
     */
    suspend fun connect(target: TargetLoad, isRepeatable: Boolean): ClientConnection? {
        val maximumIdle = if (isRepeatable) MAXIMUM_IDLE_MILLISECONDS else MAXIMUM_IDLE_NOT_REPEATABLE_MILLISECONDS
        val address = addressOf(target)
        return connections.acquireIdle(address, clock.now().plusMilliseconds(-maximumIdle))
            ?: connections.connect(address, CONNECT_TIMEOUT_MILLISECONDS)
    }

    /** Returns whether the host of [target] refuses a new connection, since no process listens there. */
    suspend fun isRefusing(target: TargetLoad): Boolean =
        connections.isRefused(addressOf(target), CONNECT_TIMEOUT_MILLISECONDS)

    /** Returns [connection] to the pool if the response is complete and it can be reused, and closes it otherwise. */
    fun release(target: TargetLoad, connection: ClientConnection, isComplete: Boolean) {
        if (isComplete && connection.finish()) {
            connections.release(connection, addressOf(target))
        } else {
            connection.close()
        }
    }

    /** Closes idle connections to [target]. */
    fun closeIdle(target: TargetLoad): Unit = connections.closeIdle(addressOf(target))

    /** Closes connections that were idle for longer than [MAXIMUM_IDLE_MILLISECONDS]. */
    fun closeUnused(): Unit = connections.closeUnused(clock.now().plusMilliseconds(-MAXIMUM_IDLE_MILLISECONDS))

    private fun addressOf(target: TargetLoad) = InetSocketAddress(target.entry.host, target.entry.port)

    private companion object {
        /** Many times the latency between data centres; a live target accepts within some milliseconds. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 250L

        /** Targets close connections that are idle for more than some seconds. */
        const val MAXIMUM_IDLE_MILLISECONDS = 3_000L

        /** Some targets drop connections that were idle for a third of a second without closing them. */
        const val MAXIMUM_IDLE_NOT_REPEATABLE_MILLISECONDS = 250L
    }
}
