package org.heatherwind.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Given a pooled connection, when bytes arrive on it before the next request, then it is not reused. */
class ConnectionPoolTest {
    private class Case(
        val name: String,
        val method: HttpMethod = HttpMethod.GET,
        val response: String = RESPONSE,
        val isReused: Boolean = false,
        val whileIdle: Socket.() -> Unit = {},
    )

    private val cases = listOf(
        Case("nothing more", isReused = true),
        Case("a response to HEAD with the length of the body", HttpMethod.HEAD, "$HEAD\r\n\r\n", isReused = true),
        Case("a second response with the first", response = RESPONSE + REFUSAL),
        Case("a part of a line with the first response", response = RESPONSE + "HTTP/1.1 50"),
        Case("a whole line with the first response", response = RESPONSE + "HTTP/1.1 503 Service Unavailable\r\n"),
        Case("a head with the first response", response = RESPONSE + REFUSAL.dropLast(2)),
        Case("a second response while idle") { write(REFUSAL) },
        Case("a part of a line while idle") { write("HTTP/1.1 50") },
        Case("the end of the connection while idle") { close() },
    )

    // Guards against a copy of an earlier refusal that is taken for the response to the next request.
    @TestFactory
    fun `given bytes after a response when a connection is acquired then it is not reused`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                val eventLoop = group.next()
                ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                    val address = InetSocketAddress(server.inetAddress, server.localPort)
                    val pool = ConnectionPool(eventLoop, MonotonicClock.system)
                    runBlocking(eventLoop.asCoroutineDispatcher()) {
                        val connection = assertNotNull(pool.connect(address, TIMEOUT_MILLISECONDS))
                        server.accept().use { socket ->
                            exchange(connection, socket, case)
                            if (connection.finish()) pool.release(connection, address)
                            // The event loop runs this block, so it cannot read the bytes before the acquisition.
                            case.whileIdle(socket)
                            assertEquals(case.isReused, pool.acquireIdle(address, MonotonicTime.distantPast) != null)
                        }
                    }
                }
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
            }
        }

    private suspend fun exchange(connection: ClientConnection, socket: Socket, case: Case) {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().set(HttpHeaderNames.HOST, "h")
        connection.send(case.method, "/", headers, ByteArray(0))
        socket.getInputStream().read()
        socket.write(case.response)
        while (true) {
            val part = connection.receive()
            if (part is ResponsePart.Body) part.content.release()
            if (part is ResponsePart.End || part is ResponsePart.Failed) return
        }
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 5_000L
        const val HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 4"
        const val RESPONSE = "$HEAD\r\n\r\ndone"
        const val REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"

        fun Socket.write(text: String) = getOutputStream().write(text.encodeToByteArray())
    }
}
