package org.heatherwind.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.heatherwind.core.fleet.CallerLimits
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/** Serves the requests of one connection. */
internal fun interface RequestHandler {
    /** Serves [request]; cancelled when the caller leaves. */
    suspend fun serve(request: ReceivedRequest, answer: CallerResponseWriter)
}

/** What the connections of one listener share. */
internal class CallerContext(
    val scope: CoroutineScope,
    val clock: MonotonicClock,
    val limits: () -> CallerLimits,
    val isDraining: () -> Boolean,
    val bodyMemory: BodyMemory,
    val handler: RequestHandler,
)

/**
 * One caller's connection: requests are read one after the other and answered in order. Reading goes on while a request
 * is served, so that the caller's leaving is noticed.
 */
internal class CallerConnection(private val shared: CallerContext) : ChannelInboundHandlerAdapter() {
    private val waiting = ArrayDeque<ReceivedRequest>()
    private var receiving: Receiving? = null
    private var serving: Job? = null
    private var readDeadline: ScheduledFuture<*>? = null
    private var isFaulty = false

    /** Whether the connection carries no request at present. */
    val isIdle: Boolean get() = serving == null && receiving == null && waiting.isEmpty()

    override fun channelActive(context: ChannelHandlerContext) {
        scheduleIdleEnd(context)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isFaulty) {
            ReferenceCountUtil.release(message)
            return
        }
        if (message is HttpRequest) begin(context, message)
        if (message is HttpContent) append(context, message)
    }

    private fun begin(context: ChannelHandlerContext, head: HttpRequest) {
        val now = shared.clock.now()
        val rejection = RequestScreen.examine(head)
            ?: HeadRejection.BODY_TOO_LARGE.takeIf {
                HttpUtil.getContentLength(head, 0L) > shared.limits().maximumBodyBytes
            }
        receiving = Receiving(head, now)
        if (rejection != null) return reject(context, rejection)
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        scheduleReadEnd(context)
    }

    private fun append(context: ChannelHandlerContext, content: HttpContent) {
        val open = receiving
        try {
            if (open == null) return
            if (content.decoderResult().isFailure) return reject(context, HeadRejection.MALFORMED)
            val bytes: ByteBuf = content.content()
            val size = bytes.readableBytes()
            if (open.body.size() + size > shared.limits().maximumBodyBytes) {
                return reject(context, HeadRejection.BODY_TOO_LARGE)
            }
            if (!shared.bodyMemory.tryTake(size)) return reject(context, HeadRejection.MEMORY_FULL)
            open.taken += size
            bytes.readBytes(open.body, size)
        } finally {
            content.release()
        }
        if (content is LastHttpContent) complete(context, open)
    }

    private fun complete(context: ChannelHandlerContext, open: Receiving) {
        readDeadline?.cancel(false)
        receiving = null
        waiting.addLast(ReceivedRequest(open.head, open.body.toByteArray(), open.receivedAt))
        if (waiting.size >= MAXIMUM_WAITING) context.channel().config().isAutoRead = false
        serveNext(context)
    }

    private fun reject(context: ChannelHandlerContext, rejection: HeadRejection) {
        isFaulty = true
        readDeadline?.cancel(false)
        val open = receiving ?: return
        receiving = null
        shared.bodyMemory.give(open.taken)
        waiting.addLast(ReceivedRequest(open.head, ByteArray(0), open.receivedAt, rejection))
        serveNext(context)
    }

    private fun serveNext(context: ChannelHandlerContext) {
        if (serving != null || !context.channel().isActive) return
        val request = waiting.removeFirstOrNull() ?: return scheduleIdleEnd(context)
        readDeadline?.cancel(false)
        val answer = CallerResponseWriter(context.channel(), request.head, shared.clock) {
            !isFaulty && !shared.isDraining()
        }
        val job = shared.scope.launch(start = CoroutineStart.LAZY) {
            try {
                shared.handler.serve(request, answer)
            } finally {
                answer.end()
            }
        }
        serving = job
        job.invokeOnCompletion {
            context.channel().eventLoop().execute {
                shared.bodyMemory.give(request.body.size)
                serving = null
                if (!context.channel().config().isAutoRead) context.channel().config().isAutoRead = true
                serveNext(context)
            }
        }
        job.start()
    }

    private fun scheduleReadEnd(context: ChannelHandlerContext) {
        readDeadline?.cancel(false)
        readDeadline = context.executor().schedule(
            { if (receiving != null) reject(context, HeadRejection.READ_TIMEOUT) },
            shared.limits().headerTimeoutMilliseconds + BODY_GRACE_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun scheduleIdleEnd(context: ChannelHandlerContext) {
        readDeadline?.cancel(false)
        readDeadline = context.executor().schedule(
            { if (isIdle) context.close() },
            shared.limits().idleTimeoutMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        readDeadline?.cancel(false)
        receiving?.let { shared.bodyMemory.give(it.taken) }
        receiving = null
        waiting.forEach { shared.bodyMemory.give(it.body.size) }
        waiting.clear()
        serving?.cancel(CallerLeftException())
        context.fireChannelInactive()
    }

    @Deprecated("declared so by Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private class Receiving(val head: HttpRequest, val receivedAt: MonotonicTime) {
        val body = ByteArrayOutputStream()
        var taken = 0
    }

    private companion object {
        /** Requests that a caller may send ahead of their answers before reading stops. */
        const val MAXIMUM_WAITING = 8

        /** A body that trickles longer than this after its head would outlive most requests' deadlines. */
        const val BODY_GRACE_MILLISECONDS = 7_000L
    }
}
