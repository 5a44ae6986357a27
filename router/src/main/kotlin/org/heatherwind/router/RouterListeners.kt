package org.heatherwind.router

import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.routing.Routing
import io.ktor.server.routing.routing
import io.netty.channel.group.DefaultChannelGroup
import io.netty.util.concurrent.GlobalEventExecutor
import org.heatherwind.router.peer.OwnerService
import org.heatherwind.router.peer.PeerTokenServerInterceptor
import org.heatherwind.router.settings.ListenerSettings
import org.heatherwind.router.settings.RouterSettings
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private typealias HttpServer = EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>

/** The three listeners of a router: HTTP for callers and for operators, gRPC for peers. */
internal class RouterListeners(private val settings: RouterSettings) : AutoCloseable {
    private var peerServer: Server? = null
    private var callerServer: HttpServer? = null
    private var operatorServer: HttpServer? = null
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)

    var callerPort: Int = settings.callers.port
        private set
    var operatorPort: Int = settings.operators.port
        private set
    val peerPort: Int get() = peerServer?.port ?: settings.peers.port

    fun startPeers(service: OwnerService) {
        peerServer = NettyServerBuilder.forAddress(InetSocketAddress(settings.peers.host, settings.peers.port))
            .addService(service)
            .intercept(PeerTokenServerInterceptor(settings.peerToken))
            .permitKeepAliveTime(MINIMUM_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .build()
            .start()
    }

    suspend fun startCallers(routes: Routing.() -> Unit) {
        callerServer = startHttp(settings.callers, routes).also { callerPort = portOf(it) }
    }

    suspend fun startOperators(routes: Routing.() -> Unit) {
        operatorServer = startHttp(settings.operators, routes).also { operatorPort = portOf(it) }
    }

    /**
     * Closes every connection immediately, as a crash of the process would. The listeners' threads are stopped in the
     * background.
     */
    override fun close() {
        peerServer?.shutdownNow()
        connections.close()
        listOfNotNull(callerServer, operatorServer).forEach { server ->
            thread(name = "listener-stop", isDaemon = true) { server.stop(gracePeriodMillis = 0, timeoutMillis = 0) }
        }
    }

    private suspend fun startHttp(listener: ListenerSettings, routes: Routing.() -> Unit): HttpServer {
        val server = embeddedServer(
            factory = Netty,
            configure = {
                connector {
                    host = listener.host
                    port = listener.port
                }
                channelPipelineConfig = { connections.add(channel()) }
            },
        ) { routing(routes) }
        server.startSuspend(wait = false)
        return server
    }

    private suspend fun portOf(server: HttpServer): Int = server.engine.resolvedConnectors().first().port

    private companion object {
        /** Must be below the ping interval of the peers: gRPC closes connections that are pinged more often. */
        const val MINIMUM_KEEP_ALIVE_SECONDS = 5L
    }
}
