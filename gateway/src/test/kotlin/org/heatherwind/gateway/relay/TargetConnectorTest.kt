package org.heatherwind.gateway.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.TargetId
import org.heatherwind.gateway.http.ConnectionPool
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.assertEquals

/** Given targets that refuse connections, when a router judges that, then it asks another one before it blames them. */
class TargetConnectorTest {
    private class RefusalCase(val name: String, val relayAnswer: String?, val isRefusing: Boolean)

    private val refusalCases = listOf(
        RefusalCase("no other router", relayAnswer = null, isRefusing = true),
        RefusalCase("another router is refused, too", relayAnswer = "REFUSED\n", isRefusing = true),
        RefusalCase("another router reaches it", relayAnswer = "OPEN\n", isRefusing = false),
        RefusalCase("another router gets no response", relayAnswer = "UNREACHED\n", isRefusing = false),
        RefusalCase("another router does not answer", relayAnswer = "", isRefusing = true),
    )

    // Guards against requests that are blocked as crashing, because the router's own links were cut under them.
    @TestFactory
    fun `given a target that refuses when another router is asked then it has crashed only for both`() =
        refusalCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                Fixture(case.relayAnswer).use { fixture ->
                    assertEquals(case.isRefusing, fixture.run { it.isRefusing(closedAddress()) })
                }
            }
        }

    private class CutCase(val name: String, val refusing: Int, val isCutOff: Boolean)

    private val cutCases = listOf(
        CutCase("one target refuses", refusing = 1, isCutOff = false),
        CutCase("two targets refuse", refusing = 2, isCutOff = true),
    )

    @TestFactory
    fun `given targets that refuse when connected to then the router is cut off if several do`(): List<DynamicTest> =
        cutCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                Fixture(relayAnswer = null).use { fixture ->
                    fixture.run { connector ->
                        repeat(case.refusing) { connector.connect(TargetId("target-$it"), closedAddress()) }
                        assertEquals(case.isCutOff, connector.isCutOff)
                    }
                }
            }
        }

    /** A connector and, if [relayAnswer] is not null, another router that gives it to each request. */
    private class Fixture(relayAnswer: String?) : AutoCloseable {
        private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        private val eventLoop = group.next()
        private val clock = MonotonicClock.system
        private val relay = relayAnswer?.let { answer -> ServerSocket(0, 1, loopback).also { answerWith(it, answer) } }
        private val metrics = GatewayMetrics()
        private val connector = TargetConnector(
            direct = ConnectionPool(eventLoop, clock),
            tunnels = TunnelClient(eventLoop, clock),
            relays = Relays(clock, offered = {
                listOfNotNull(relay?.let { InetSocketAddress(loopback, it.localPort) })
            }),
            clock = clock,
            log = DecisionLog(clock, metrics),
            metrics = metrics,
        )

        fun <T> run(act: suspend (TargetConnector) -> T): T =
            runBlocking(eventLoop.asCoroutineDispatcher()) { act(connector) }

        private fun answerWith(server: ServerSocket, answer: String) = thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                runCatching { socket.getOutputStream().write(answer.encodeToByteArray()) }
            }
        }

        override fun close() {
            relay?.close()
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    }

    private companion object {
        val loopback: InetAddress = InetAddress.getByName("127.0.0.1")

        /** An address at which nobody listens. */
        fun closedAddress() = ServerSocket(0, 1, loopback).use { InetSocketAddress(loopback, it.localPort) }
    }
}
