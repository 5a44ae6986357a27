package org.heatherwind.gateway.serve

import io.netty.channel.EventLoop
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.ClientConnections
import java.net.InetSocketAddress

/** Connections to targets. */
internal class TargetClient(eventLoop: EventLoop, private val clock: MonotonicClock) {
    private val connections = ClientConnections(eventLoop, clock)

    /** Connections opened since the start of the process. */
    val openedCount: Long get() = connections.openedCount

    /**
     * A connection to [target], or null when none could be had. A request that may run once only goes out on a
     * connection that was in use lately, since a stale one would leave its outcome unknown.
     */
    suspend fun connect(target: TargetLoad, isRepeatable: Boolean): ClientConnection? {
        val maximumIdle = if (isRepeatable) MAXIMUM_IDLE_MILLISECONDS else MAXIMUM_IDLE_ONCE_MILLISECONDS
        val address = addressOf(target)
        return connections.reuse(address, clock.now().plusMilliseconds(-maximumIdle))
            ?: connections.open(address, CONNECT_TIMEOUT_MILLISECONDS)
    }

    /** Keeps [connection] for another request if it is clean, closes it otherwise. */
    fun finish(target: TargetLoad, connection: ClientConnection, isWhole: Boolean) {
        if (isWhole && connection.finish()) {
            connections.release(connection, addressOf(target))
        } else {
            connection.close()
        }
    }

    /** Drops idle connections to [target]. */
    fun forget(target: TargetLoad): Unit = connections.forget(addressOf(target))

    /** Closes connections that were idle for long. */
    fun closeUnused(): Unit = connections.closeUnused(clock.now().plusMilliseconds(-MAXIMUM_IDLE_MILLISECONDS))

    private fun addressOf(target: TargetLoad) = InetSocketAddress(target.entry.host, target.entry.port)

    private companion object {
        /** Many times the delay between data centres; a live target accepts within some milliseconds. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 250L

        /** Targets close connections that are idle for longer than some seconds. */
        const val MAXIMUM_IDLE_MILLISECONDS = 3_000L

        /** Some targets drop connections after a third of a second without a word. */
        const val MAXIMUM_IDLE_ONCE_MILLISECONDS = 250L
    }
}
