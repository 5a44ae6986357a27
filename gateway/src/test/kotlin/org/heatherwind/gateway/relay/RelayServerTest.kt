package org.heatherwind.gateway.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.ResponsePart
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Given a router that connects others to targets, when one does so, then it sees what the target does. */
class RelayServerTest {
    private class ResponseCase(val name: String, val body: String?, val answer: Socket.() -> Unit)

    private val responseCases = listOf(
        ResponseCase("a response with a length", body = "whole") { write("$OK_HEAD$LENGTH_5\r\n\r\nwhole") },
        ResponseCase("a response in chunks", body = "whole") {
            write("$OK_HEAD${CHUNKED}\r\n\r\n2\r\nwh\r\n")
            write("3\r\nole\r\n0\r\n\r\n")
        },
        ResponseCase("a response that ends with its connection", body = "whole") {
            write("$OK_HEAD\r\n\r\nwhole")
            shutdownOutput()
        },
        // Guards against a part of a response that is taken for the whole, because the relay's close looks like an end.
        ResponseCase("a response without length that is reset", body = null) {
            write("$OK_HEAD\r\n\r\nwho")
            reset()
        },
        ResponseCase("a response with a length that is cut", body = null) {
            write("$OK_HEAD$LENGTH_5\r\n\r\nwho")
            shutdownOutput()
        },
        ResponseCase("no response", body = null) { shutdownOutput() },
        ResponseCase("a reset", body = null) { reset() },
    )

    @TestFactory
    fun `given a response through a relay when it ends then it is whole only if the target ended it`() =
        responseCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                Relay(isOffered = true) { socket ->
                    socket.readHead()
                    case.answer(socket)
                }.use { relay ->
                    relay.run { connection ->
                        connection.send(HttpMethod.GET, "/", newHeaders(), ByteArray(0))
                        assertEquals(case.body, bodyOf(connection))
                    }
                }
            }
        }

    // Guards against a relay that dies, and whose last bytes are taken for the end of a response.
    @Test
    fun `given a response without length when the relay closes then it is not whole`() {
        Relay(isOffered = true) { socket ->
            socket.readHead()
            socket.write("$OK_HEAD\r\n\r\nwho")
        }.use { relay ->
            relay.run { connection ->
                connection.send(HttpMethod.GET, "/", newHeaders(), ByteArray(0))
                assertIs<ResponsePart.Head>(connection.receive())
                assertIs<ResponsePart.Body>(connection.receive()).content.release()
                relay.closeTunnels()
                assertIs<ResponsePart.Failed>(connection.receive())
            }
        }
    }

    // Guards against a target that works on for a caller who has left.
    @Test
    fun `given a request through a relay when the router closes it then the target's connection ends`() {
        val isEnded = CompletableFuture<Boolean>()
        Relay(isOffered = true) { socket ->
            socket.readHead()
            isEnded.complete(runCatching { socket.getInputStream().read() == -1 }.getOrDefault(true))
        }.use { relay ->
            relay.run { connection ->
                connection.send(HttpMethod.GET, "/", newHeaders(), ByteArray(0))
                connection.close()
            }
            assertTrue(isEnded.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
        }
    }

    @Test
    fun `given an upload and a response of megabytes when relayed then both arrive whole`() {
        val body = ByteArray(MEGABYTES) { (it % 251).toByte() }
        Relay(isOffered = true) { socket ->
            socket.readHead()
            val received = socket.getInputStream().readNBytes(body.size)
            socket.write("$OK_HEAD\r\nContent-Length: ${received.size}\r\n\r\n")
            socket.getOutputStream().write(received)
        }.use { relay ->
            relay.run { connection ->
                connection.send(HttpMethod.POST, "/", newHeaders(), body)
                assertTrue(String(body, Charsets.ISO_8859_1) == bodyOf(connection))
            }
        }
    }

    private class AnswerCase(val name: String, val isOffered: Boolean, val answer: TunnelAnswer, val target: TargetKind)

    private enum class TargetKind { LISTENING, ENDED, UNREGISTERED }

    private val answerCases = listOf(
        AnswerCase("a target that has ended", isOffered = true, TunnelAnswer.REFUSED, TargetKind.ENDED),
        AnswerCase("an address of no target", isOffered = true, TunnelAnswer.DECLINED, TargetKind.UNREGISTERED),
        AnswerCase("a relay that is cut off, too", isOffered = false, TunnelAnswer.DECLINED, TargetKind.LISTENING),
    )

    @TestFactory
    fun `given a target that cannot be connected to when asked then the answer tells why`(): List<DynamicTest> =
        answerCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                Relay(case.isOffered, isRegistered = case.target != TargetKind.UNREGISTERED) { }.use { relay ->
                    if (case.target == TargetKind.ENDED) relay.closeTarget()
                    val result = assertIs<TunnelResult.NotOpen>(relay.connect())
                    assertEquals(case.answer, result.answer)
                    assertEquals(1, relay.answers[case.answer])
                }
            }
        }

    /** A relay and a target that plays [script] on each connection, on loopback. */
    private class Relay(isOffered: Boolean, isRegistered: Boolean = true, script: (Socket) -> Unit) : AutoCloseable {
        private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        private val eventLoop = group.next()
        private val target = ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))
        private val targetAddress = InetSocketAddress(LOOPBACK, target.localPort)
        private val tunnels = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val answers = HashMap<TunnelAnswer, Int>()
        private val server = RelayServer(
            group = tunnels,
            log = DecisionLog(MonotonicClock.system, GatewayMetrics()),
            isOffered = { isOffered },
            isTarget = { isRegistered && it == targetAddress },
            onAnswer = { answers.merge(it, 1, Int::plus) },
        )
        private val address = server.listen(InetSocketAddress(LOOPBACK, 0))

        init {
            thread(isDaemon = true) {
                runCatching { target.accept().also(script).apply { soTimeout = TIMEOUT_SECONDS.toInt() * 1_000 } }
            }
        }

        fun connect(): TunnelResult = runBlocking(eventLoop.asCoroutineDispatcher()) {
            TunnelClient(eventLoop, MonotonicClock.system).connect(address, targetAddress)
        }

        fun run(act: suspend (ClientConnection) -> Unit) {
            val connection = assertIs<TunnelResult.Open>(connect()).connection
            assertTrue(connection.isRelayed)
            runBlocking(eventLoop.asCoroutineDispatcher()) { act(connection) }
        }

        fun closeTarget() = target.close()

        fun closeTunnels() {
            tunnels.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }

        override fun close() {
            target.close()
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
            tunnels.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val OK_HEAD = "HTTP/1.1 200 OK"
        const val LENGTH_5 = "\r\nContent-Length: 5"
        const val CHUNKED = "\r\nTransfer-Encoding: chunked"
        const val MEGABYTES = 3_000_000
        const val TIMEOUT_SECONDS = 20L

        fun newHeaders() = DefaultHttpHeadersFactory.headersFactory().newHeaders()

        /** Returns the body of the response, or null if it is not whole. */
        suspend fun bodyOf(connection: ClientConnection): String? {
            val body = StringBuilder()
            while (true) {
                when (val part = connection.receive()) {
                    is ResponsePart.Head -> Unit

                    is ResponsePart.Body -> {
                        body.append(part.content.toString(Charsets.ISO_8859_1))
                        part.content.release()
                    }

                    ResponsePart.End -> return body.toString()

                    is ResponsePart.Failed -> return null
                }
            }
        }

        fun Socket.write(text: String) {
            getOutputStream().write(text.encodeToByteArray())
        }

        fun Socket.reset() {
            setSoLinger(true, 0)
            close()
        }

        fun Socket.readHead() {
            var last = ""
            while (!last.endsWith("\r\n\r\n")) last = (last + getInputStream().read().toChar()).takeLast(4)
        }
    }
}
