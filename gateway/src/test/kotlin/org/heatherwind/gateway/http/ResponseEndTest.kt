package org.heatherwind.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.heatherwind.core.identity.MonotonicClock
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Given a response without length, when its connection ends, then it is complete only if the peer ended it. */
class ResponseEndTest {
    private class Case(
        val name: String,
        val response: String,
        val isComplete: Boolean,
        val uploadBytes: Int = 0,
        val end: (ClientConnection, Socket) -> Unit,
    )

    private val unframed = "HTTP/1.1 200 OK\r\n\r\npart"
    private val chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"

    private val cases = listOf(
        Case("the peer ends the connection", unframed, isComplete = true) { _, socket -> socket.close() },
        Case("the peer ends its output", unframed, isComplete = true) { _, socket -> socket.shutdownOutput() },
        Case("the peer resets the connection", unframed, isComplete = false) { _, socket ->
            socket.setSoLinger(true, 0)
            socket.close()
        },
        Case("this process closes the connection", unframed, isComplete = false) { connection, _ ->
            connection.channel.close()
        },
        Case("the peer ends the connection between chunks", chunked, isComplete = false) { _, socket ->
            socket.close()
        },
        Case("the peer ends its output within the upload", unframed, isComplete = false, LONG_UPLOAD) { _, socket ->
            socket.shutdownOutput()
        },
        Case("the peer closes with the upload unread", unframed, isComplete = false, LONG_UPLOAD) { _, socket ->
            socket.close()
        },
    )

    // Guards against a response that was broken off and looks complete to its caller.
    @TestFactory
    fun `given a response without length when its connection ends then only a clean end completes it`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                val eventLoop = group.next()
                ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                    val address = InetSocketAddress(server.inetAddress, server.localPort)
                    runBlocking(eventLoop.asCoroutineDispatcher()) {
                        val pool = ConnectionPool(eventLoop, MonotonicClock.system)
                        val connection = assertNotNull(pool.connect(address, TIMEOUT_MILLISECONDS))
                        server.accept().use { socket ->
                            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
                            connection.send(HttpMethod.POST, "/", headers, ByteArray(case.uploadBytes))
                            while (HEAD_END !in received(socket)) Unit
                            socket.getOutputStream().write(case.response.encodeToByteArray())
                            var part = connection.receive()
                            while (part !is ResponsePart.Body) part = connection.receive()
                            part.content.release()
                            case.end(connection, socket)
                            assertEquals(case.isComplete, connection.receive() is ResponsePart.End)
                        }
                    }
                }
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
            }
        }

    private fun received(socket: Socket): String {
        val bytes = ByteArray(BUFFER_BYTES)
        return bytes.decodeToString(0, socket.getInputStream().read(bytes))
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 5_000L

        /** More than the buffers of a connection hold. */
        const val LONG_UPLOAD = 32_000_000
        const val BUFFER_BYTES = 4_096
        const val HEAD_END = "\r\n\r\n"
    }
}
