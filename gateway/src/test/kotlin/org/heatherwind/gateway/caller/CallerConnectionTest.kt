package org.heatherwind.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.awaitCancellation
import org.heatherwind.core.fleet.CallerLimits
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.http.MemoryLimit
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Given a planned stop under load, when connections are closed, then those whose request is being served or may be on
 * the way stay open.
 */
class CallerConnectionTest {
    private class Case(val name: String, val sent: String, val milliseconds: Long, val isClosable: Boolean)

    private val cases = listOf(
        Case("a connection that was just accepted", sent = "", milliseconds = 100, isClosable = false),
        Case("a connection that stayed idle", sent = "", milliseconds = 300, isClosable = true),
        Case("a request that is being received", REQUEST_HEAD, milliseconds = 10_000, isClosable = false),
        Case("a request that is being served", REQUEST_HEAD + "frit", milliseconds = 10_000, isClosable = false),
    )

    @TestFactory
    fun `given a stop when a connection may carry a request then it stays open`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                var now = MonotonicTime(0)
                val shared = CallerContext(
                    scope = CoroutineScope(Dispatchers.Unconfined),
                    clock = MonotonicClock { now },
                    limits = { CallerLimits() },
                    isDraining = { true },
                    bodyMemory = MemoryLimit(1_000_000),
                    handler = { _, _ -> awaitCancellation() },
                )
                val connection = CallerConnection(shared)
                val channel =
                    EmbeddedChannel(StrictRequestDecoder(HttpDecoderConfig()), HttpResponseEncoder(), connection)
                if (case.sent.isNotEmpty()) channel.writeInbound(Unpooled.copiedBuffer(case.sent, Charsets.UTF_8))
                now = now.plusMilliseconds(case.milliseconds)
                assertEquals(case.isClosable, connection.isClosable(now))
                channel.close()
            }
        }

    // Guards against complete answers that are cut when their connection is closed before the caller has read them.
    @Test
    fun `given an answer that was not sent completely when the router stops then the connection stays open`() {
        var now = MonotonicTime(0)
        val held = mutableListOf<ChannelPromise>()
        val connection = CallerConnection(context({ now }) { response -> response.respond("whole") })
        val holdingWrites = object : ChannelOutboundHandlerAdapter() {
            override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
                ReferenceCountUtil.release(message)
                held += promise
            }
        }
        val channel =
            EmbeddedChannel(holdingWrites, StrictRequestDecoder(HttpDecoderConfig()), HttpResponseEncoder(), connection)
        channel.writeInbound(Unpooled.copiedBuffer(REQUEST_HEAD + "frit", Charsets.UTF_8))
        now = now.plusMilliseconds(10_000)
        assertFalse(connection.isClosable(now))
        assertTrue(channel.isOpen)
        held.toList().forEach { it.setSuccess() }
        now = now.plusMilliseconds(10_000)
        assertTrue(connection.isClosable(now) || !channel.isOpen)
    }

    // Guards against whole pipelined requests without an answer behind a response that closes the connection.
    @TestFactory
    fun `given pipelined requests when the connection is to be closed then all are answered`(): List<DynamicTest> =
        listOf(
            "a second request in a stop" to REQUEST_HEAD + "frit",
            "a second request that is malformed" to "NONSENSE\r\n\r\n",
        ).map { (name, second) ->
            DynamicTest.dynamicTest(name) {
                val release = CompletableDeferred<Unit>()
                val shared = context({ MonotonicTime(0) }) { response ->
                    release.await()
                    response.respond("whole")
                }
                val channel = EmbeddedChannel(
                    StrictRequestDecoder(HttpDecoderConfig()),
                    HttpResponseEncoder(),
                    CallerConnection(shared),
                )
                channel.writeInbound(Unpooled.copiedBuffer(REQUEST_HEAD + "frit" + second, Charsets.UTF_8))
                release.complete(Unit)
                channel.runPendingTasks()
                val sent = generateSequence { channel.readOutbound<ByteBuf>() }
                    .joinToString("") { it.toString(Charsets.UTF_8) }
                val connectionHeaders = sent.lines().filter { it.startsWith("connection:") }
                assertEquals(listOf("connection: keep-alive", "connection: close"), connectionHeaders)
                assertFalse(channel.isOpen)
            }
        }

    private class IdleCase(val name: String, val limitAtStart: Long, val limitLater: Long, val isOpen: Boolean)

    // Guards against connections that are closed by the idle limit of an older plan while callers may still use them.
    @TestFactory
    fun `given an idle connection when the idle limit changes then the new limit counts`(): List<DynamicTest> = listOf(
        IdleCase("the same limit", limitAtStart = 200, limitLater = 200, isOpen = false),
        IdleCase("a raised limit", limitAtStart = 200, limitLater = 5_000, isOpen = true),
        IdleCase("a lowered limit, unknown to the caller", limitAtStart = 5_000, limitLater = 200, isOpen = true),
    ).map { case ->
        DynamicTest.dynamicTest(case.name) {
            var now = MonotonicTime(0)
            var limits = CallerLimits(idleTimeoutMilliseconds = case.limitAtStart)
            val shared = CallerContext(
                scope = CoroutineScope(Dispatchers.Unconfined),
                clock = { now },
                limits = { limits },
                isDraining = { false },
                bodyMemory = MemoryLimit(1_000_000),
                handler = { _, _ -> awaitCancellation() },
            )
            val channel = EmbeddedChannel()
            channel.freezeTime()
            channel.pipeline().addLast(CallerConnection(shared))
            channel.pipeline().fireChannelActive()
            limits = CallerLimits(idleTimeoutMilliseconds = case.limitLater)
            now = now.plusMilliseconds(IDLE_MILLISECONDS)
            channel.advanceTimeBy(IDLE_MILLISECONDS, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
            assertEquals(case.isOpen, channel.isOpen)
            channel.close()
        }
    }

    // Guards against a whole request without an answer that the router ends before it has begun to serve it.
    @Test
    fun `given a request that was read when the stop ends before it is served then it is answered`() {
        val tasks = ArrayDeque<Runnable>()
        val scope = CoroutineScope(Executor { tasks.addLast(it) }.asCoroutineDispatcher())
        val shared = context({ MonotonicTime(0) }, scope) { response ->
            try {
                awaitCancellation()
            } catch (_: RouterStoppingException) {
                response.respond("stopped")
            }
        }
        val connection = CallerConnection(shared)
        val channel = EmbeddedChannel(StrictRequestDecoder(HttpDecoderConfig()), HttpResponseEncoder(), connection)
        channel.writeInbound(Unpooled.copiedBuffer(REQUEST_HEAD + "frit", Charsets.UTF_8))
        connection.endRequest()
        while (tasks.isNotEmpty()) tasks.removeFirst().run()
        channel.runPendingTasks()
        assertEquals("HTTP/1.1 200 OK", channel.readOutbound<ByteBuf>()?.toString(Charsets.UTF_8)?.lines()?.first())
    }

    // Guards against a partial request without an answer that keeps its memory once the one before it has ended.
    @Test
    fun `given a partial request behind another one when its body does not arrive then it is answered`() {
        val release = CompletableDeferred<Unit>()
        val shared = context({ MonotonicTime(0) }, isDraining = false) { response ->
            release.await()
            response.respond("whole")
        }
        val channel = EmbeddedChannel(
            StrictRequestDecoder(HttpDecoderConfig()),
            HttpResponseEncoder(),
            CallerConnection(shared),
        )
        channel.freezeTime()
        channel.writeInbound(Unpooled.copiedBuffer(REQUEST_HEAD + "frit" + REQUEST_HEAD, Charsets.UTF_8))
        release.complete(Unit)
        channel.runPendingTasks()
        channel.advanceTimeBy(1, TimeUnit.HOURS)
        channel.runScheduledPendingTasks()
        channel.runPendingTasks()
        assertFalse(channel.isOpen)
    }

    private fun context(
        clock: MonotonicClock,
        scope: CoroutineScope = CoroutineScope(Dispatchers.Unconfined),
        isDraining: Boolean = true,
        serve: suspend (CallerResponseWriter) -> Unit,
    ) = CallerContext(
        scope = scope,
        clock = clock,
        limits = { CallerLimits() },
        isDraining = { isDraining },
        bodyMemory = MemoryLimit(1_000_000),
        handler = { _, response -> serve(response) },
    )

    private fun CallerResponseWriter.respond(body: String): Unit =
        respond(200, DefaultHttpHeadersFactory.headersFactory().newHeaders(), body.encodeToByteArray())

    private companion object {
        const val IDLE_MILLISECONDS = 300L
        const val REQUEST_HEAD = "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n"
    }
}
