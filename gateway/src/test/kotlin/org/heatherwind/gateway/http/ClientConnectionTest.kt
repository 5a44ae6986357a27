package org.heatherwind.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Given a response, when its parts arrive before, at or after the receiver's deadline, then none is lost. */
class ClientConnectionTest {
    private class Case(val name: String, val arrivesAt: Long)

    private val cases = listOf(
        Case("before the deadline", arrivesAt = DEADLINE - 1),
        Case("in the same turn of the event loop as the deadline", arrivesAt = DEADLINE),
        Case("after the deadline", arrivesAt = DEADLINE + 1),
    )

    // Guards against responses that never end for the caller, because a part was dropped when the deadline passed.
    @TestFactory
    fun `no part of a response is lost at a deadline`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            runTest {
                val clock = MonotonicClock { MonotonicTime(testScheduler.currentTime) }
                val channel = EmbeddedChannel(ResponseDecoder(HttpDecoderConfig()), HttpRequestEncoder())
                val connection = ClientConnection(channel, clock)
                val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
                connection.send(HttpMethod.GET, "/", headers, ByteArray(0))
                launch {
                    delay(case.arrivesAt)
                    channel.writeInbound(Unpooled.copiedBuffer(RESPONSE, Charsets.UTF_8))
                }
                delay(1)
                val first = connection.receive(MonotonicTime(DEADLINE))
                assertIs<ResponsePart.Head>(first ?: connection.receive())
                assertIs<ResponsePart.End>(connection.receive())
                connection.close()
            }
        }
    }

    private class UploadCase(val name: String, val isComplete: Boolean, val play: Upload.() -> Unit)

    /** A connection on which the writes of a request stay open until they are completed or failed. */
    private class Upload {
        private val writes = ArrayList<ChannelPromise>()
        private val holdWrites = object : ChannelOutboundHandlerAdapter() {
            override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
                ReferenceCountUtil.release(message)
                writes += promise
            }
        }
        val channel = EmbeddedChannel(holdWrites, ResponseDecoder(HttpDecoderConfig()), HttpRequestEncoder())
        val connection = ClientConnection(channel, MonotonicClock.system)

        fun receive(text: String) = channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))

        fun completeWrites() = writes.forEach { it.trySuccess() }

        fun failWrites() = writes.forEach { it.tryFailure(IOException("Connection reset by peer")) }

        /** Lets the time pass after which a reset would have arrived. */
        fun awaitReset() {
            channel.advanceTimeBy(RESET_SECONDS, TimeUnit.SECONDS)
            channel.runScheduledPendingTasks()
        }

        fun endInput() = channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
    }

    private val uploadCases = listOf(
        UploadCase("the answer begins and ends after the upload", isComplete = true) {
            completeWrites()
            receive(UNFRAMED)
            endInput()
            awaitReset()
            completeWrites()
        },
        UploadCase("the upload is reset soon after the answer has ended", isComplete = false) {
            completeWrites()
            receive(UNFRAMED)
            endInput()
            awaitReset()
            failWrites()
        },
        UploadCase("the answer begins within the upload, which is completed", isComplete = false) {
            receive(UNFRAMED)
            completeWrites()
            endInput()
        },
        UploadCase("the answer begins and ends within the upload", isComplete = false) {
            receive(UNFRAMED)
            endInput()
        },
        UploadCase("the upload is reset before the answer ends", isComplete = false) {
            receive(UNFRAMED)
            failWrites()
            endInput()
        },
        UploadCase("the upload is reset before the answer begins", isComplete = false) {
            failWrites()
            receive(UNFRAMED)
            endInput()
        },
        UploadCase("an answer with a length begins and ends within the upload", isComplete = true) {
            receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart")
        },
    )

    // Guards against a part of an answer that the caller gets as a complete one, since the target reset the upload.
    @TestFactory
    fun `an answer without length that begins within the upload is not complete`(): List<DynamicTest> =
        uploadCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                runTest {
                    val upload = Upload()
                    val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
                    upload.connection.send(HttpMethod.POST, "/", headers, ByteArray(100))
                    upload.run(case.play)
                    var part = upload.connection.receive()
                    while (part is ResponsePart.Head || part is ResponsePart.Body) {
                        if (part is ResponsePart.Body) part.content.release()
                        part = upload.connection.receive()
                    }
                    assertEquals(case.isComplete, part is ResponsePart.End)
                    upload.connection.close()
                }
            }
        }

    private class WholeCase(val name: String, val method: HttpMethod, val responses: String, val heads: Int)

    private val wholeCases = listOf(
        WholeCase("an informational response before the final one", HttpMethod.GET, EARLY_HINTS + RESPONSE, heads = 2),
        WholeCase("a response to HEAD without length", HttpMethod.HEAD, "HTTP/1.1 200 OK\r\n\r\n", heads = 1),
    )

    // Guards against requests that fail because a response that has no body also has no length.
    @TestFactory
    fun `a response that has no body is complete without a length`(): List<DynamicTest> = wholeCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            runTest {
                val channel = EmbeddedChannel(ResponseDecoder(HttpDecoderConfig()), HttpRequestEncoder())
                val connection = ClientConnection(channel) { MonotonicTime(0) }
                val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
                connection.send(case.method, "/", headers, ByteArray(0))
                channel.writeInbound(Unpooled.copiedBuffer(case.responses, Charsets.UTF_8))
                repeat(case.heads) {
                    assertIs<ResponsePart.Head>(connection.receive())
                    assertIs<ResponsePart.End>(connection.receive())
                }
                assertTrue(connection.finish())
            }
        }
    }

    // Guards against an event loop that is blocked by a body in many small chunks, each of which was a part of its own.
    @Test
    fun `given a read with many chunks when they are received then they are one part`() {
        runTest {
            val channel = EmbeddedChannel(ResponseDecoder(HttpDecoderConfig()), HttpRequestEncoder())
            val connection = ClientConnection(channel) { MonotonicTime(0) }
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            connection.send(HttpMethod.GET, "/", headers, ByteArray(0))
            val chunks = "1\r\nx\r\n".repeat(CHUNKS)
            channel.writeInbound(Unpooled.copiedBuffer("$CHUNKED_HEAD$chunks", Charsets.UTF_8))
            channel.writeInbound(Unpooled.copiedBuffer("${chunks}0\r\n\r\n", Charsets.UTF_8))
            assertIs<ResponsePart.Head>(connection.receive())
            repeat(2) {
                val body = assertIs<ResponsePart.Body>(connection.receive())
                assertEquals("x".repeat(CHUNKS), body.content.toString(Charsets.UTF_8))
            }
            assertIs<ResponsePart.End>(connection.receive())
            assertTrue(connection.finish())
        }
    }

    // Guards against a request that waits up to its deadline on a connection that was reset just after its start.
    @Test
    fun `given a connection that was reset before its first request when one is sent then it fails at once`() {
        runTest {
            val channel = EmbeddedChannel(ResponseDecoder(HttpDecoderConfig()), HttpRequestEncoder())
            channel.close()
            val connection = ClientConnection(channel) { MonotonicTime(0) }
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            connection.send(HttpMethod.GET, "/", headers, ByteArray(0))
            assertIs<ResponsePart.Failed>(connection.receive(MonotonicTime(DEADLINE)))
        }
    }

    private companion object {
        const val RESET_SECONDS = 1L
        const val UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart"
        const val EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\n\r\n"
        const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        const val CHUNKS = 1_000
        const val DEADLINE = 100L
        const val RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    }
}
