package org.heatherwind.standins

import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.routing.Routing
import io.ktor.server.routing.routing

/** HTTP server of a stand-in, listening on the loopback interface. */
public class StandInServer private constructor(
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>,
    /** Port on which the server listens. */
    public val port: Int,
) : AutoCloseable {
    /** Base URL of the server. */
    public val address: String get() = "http://$HOST:$port"

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MILLISECONDS)
    }

    public companion object {
        private const val HOST = "127.0.0.1"
        private const val STOP_TIMEOUT_MILLISECONDS = 200L

        /** Starts a server on [port]; 0 selects a free port. */
        public suspend fun start(port: Int = 0, routes: Routing.() -> Unit): StandInServer {
            val server = embeddedServer(Netty, port = port, host = HOST) { routing(routes) }
            server.startSuspend(wait = false)
            return StandInServer(server, server.engine.resolvedConnectors().first().port)
        }
    }
}
