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
import kotlinx.coroutines.DelicateCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.heatherwind.core.fleet.CallerLimits
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.http.MemoryLimit
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/** Serves the requests of caller connections. */
internal fun interface RequestHandler {
    /** Serves [request]; cancelled when the caller disconnects. */
    suspend fun serve(request: ReceivedRequest, response: CallerResponseWriter)
}

/** The dependencies shared by all connections of one listener. */
internal class CallerContext(
    val scope: CoroutineScope,
    val clock: MonotonicClock,
    val limits: () -> CallerLimits,
    val isDraining: () -> Boolean,
    val keepsConnection: () -> Boolean = { true },
    val bodyMemory: MemoryLimit,
    val handler: RequestHandler,
)

/**
 * One caller's connection. Pipelined requests are served one at a time, in order. Reading continues while a request is
 * served, so that a disconnect by the caller is detected.
 */
internal class CallerConnection(private val shared: CallerContext) : ChannelInboundHandlerAdapter() {
    private val queued = ArrayDeque<ReceivedRequest>()
    private var partialRequest: PartialRequest? = null
    private var activeJob: Job? = null
    private var pendingTimeout: ScheduledFuture<*>? = null
    private var isRejected = false
    private var lastResponse: CallerResponseWriter? = null

    /** When the connection was accepted, or its last response was sent. */
    private var idleSince = shared.clock.now()

    private val hasNoRequest: Boolean get() = activeJob == null && partialRequest == null && queued.isEmpty()

    /** Whether no request is being received, queued or served, and all responses were sent. */
    val isIdle: Boolean get() = hasNoRequest && lastResponse?.isSent != false

    /** Whether the connection is idle at [now] and a request that its caller sent at once would have arrived. */
    fun isClosable(now: MonotonicTime): Boolean =
        isIdle && now.millisecondsSince(idleSince) >= FIRST_REQUEST_MILLISECONDS

    /** Ends the request that is being served, so that it is answered before the router exits. */
    fun endRequest() {
        activeJob?.cancel(RouterStoppingException())
    }

    override fun channelActive(context: ChannelHandlerContext) {
        scheduleIdleTimeout(context)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isRejected) {
            ReferenceCountUtil.release(message)
            return
        }
        if (message is HttpRequest) beginRequest(context, message)
        if (message is HttpContent) append(context, message)
    }

    private fun beginRequest(context: ChannelHandlerContext, head: HttpRequest) {
        val now = shared.clock.now()
        val rejection = RequestValidator.validate(head, shared.limits().maximumHeaderBytes)
            ?: RequestRejection.BODY_TOO_LARGE.takeIf {
                HttpUtil.getContentLength(head, 0L) > shared.limits().maximumBodyBytes
            }
        partialRequest = PartialRequest(head, now)
        if (rejection != null) return reject(context, rejection)
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        scheduleReadTimeout(context)
    }

    private fun append(context: ChannelHandlerContext, content: HttpContent) {
        val partial = partialRequest
        try {
            if (partial == null) return
            if (content.decoderResult().isFailure) return reject(context, RequestRejection.MALFORMED)
            val bytes: ByteBuf = content.content()
            val size = bytes.readableBytes()
            if (partial.body.size() + size > shared.limits().maximumBodyBytes) {
                return reject(context, RequestRejection.BODY_TOO_LARGE)
            }
            if (!shared.bodyMemory.tryAcquire(size)) return reject(context, RequestRejection.MEMORY_FULL)
            partial.acquiredBytes += size
            bytes.readBytes(partial.body, size)
        } finally {
            content.release()
        }
        if (content is LastHttpContent) complete(context, partial)
    }

    private fun complete(context: ChannelHandlerContext, partial: PartialRequest) {
        pendingTimeout?.cancel(false)
        partialRequest = null
        queued.addLast(ReceivedRequest(partial.head, partial.body.toByteArray(), partial.receivedAt))
        if (queued.size >= MAXIMUM_QUEUED_REQUESTS) context.channel().config().isAutoRead = false
        serveNext(context)
    }

    private fun reject(context: ChannelHandlerContext, rejection: RequestRejection) {
        isRejected = true
        pendingTimeout?.cancel(false)
        val partial = partialRequest ?: return
        partialRequest = null
        shared.bodyMemory.release(partial.acquiredBytes)
        queued.addLast(ReceivedRequest(partial.head, ByteArray(0), partial.receivedAt, rejection))
        serveNext(context)
    }

    @OptIn(DelicateCoroutinesApi::class)
    private fun serveNext(context: ChannelHandlerContext) {
        if (activeJob != null || !context.channel().isActive) return
        val request = queued.removeFirstOrNull()
        // The timeout of a request that is being received stays in force.
        if (partialRequest == null) {
            if (request == null) scheduleIdleTimeout(context) else pendingTimeout?.cancel(false)
        }
        if (request == null) return
        val response = CallerResponseWriter(context.channel(), request.head, shared.clock) {
            queued.isNotEmpty() || (!isRejected && !shared.isDraining() && shared.keepsConnection())
        }
        lastResponse = response
        // A request that is ended before this starts is answered, too.
        val job = shared.scope.launch(start = CoroutineStart.ATOMIC) {
            try {
                // A caller that left while the router had no processor time is not served.
                if (context.channel().isActive) shared.handler.serve(request, response)
            } finally {
                response.closeIfUnfinished()
            }
        }
        activeJob = job
        job.invokeOnCompletion {
            context.channel().eventLoop().execute {
                shared.bodyMemory.release(request.body.size)
                activeJob = null
                response.onSent { idleSince = shared.clock.now() }
                if (!context.channel().config().isAutoRead) context.channel().config().isAutoRead = true
                serveNext(context)
            }
        }
    }

    private fun scheduleReadTimeout(context: ChannelHandlerContext) {
        pendingTimeout?.cancel(false)
        pendingTimeout = context.executor().schedule(
            { if (partialRequest != null) reject(context, RequestRejection.READ_TIMEOUT) },
            shared.limits().headerTimeoutMilliseconds + BODY_READ_TIMEOUT_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun scheduleIdleTimeout(context: ChannelHandlerContext) {
        pendingTimeout?.cancel(false)
        val idleDeadline = idleSince.plusMilliseconds(shared.limits().idleTimeoutMilliseconds)
        pendingTimeout = context.executor().schedule(
            { closeIfIdle(context) },
            idleDeadline.millisecondsSince(shared.clock.now()).coerceAtLeast(MINIMUM_IDLE_CHECK_MILLISECONDS),
            TimeUnit.MILLISECONDS,
        )
    }

    /** Closes an idle connection; the limit may have been raised since the check was scheduled. */
    private fun closeIfIdle(context: ChannelHandlerContext) {
        val idleMilliseconds = shared.clock.now().millisecondsSince(idleSince)
        if (isIdle && idleMilliseconds >= shared.limits().idleTimeoutMilliseconds) {
            context.close()
        } else if (hasNoRequest) {
            scheduleIdleTimeout(context)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pendingTimeout?.cancel(false)
        partialRequest?.let { shared.bodyMemory.release(it.acquiredBytes) }
        partialRequest = null
        queued.forEach { shared.bodyMemory.release(it.body.size) }
        queued.clear()
        activeJob?.cancel(CallerDisconnectedException())
        context.fireChannelInactive()
    }

    @Deprecated("deprecated in Netty's ChannelHandlerAdapter")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private class PartialRequest(val head: HttpRequest, val receivedAt: MonotonicTime) {
        val body = ByteArrayOutputStream()
        var acquiredBytes = 0
    }

    private companion object {
        /** A caller that opens a connection sends its request within this time. */
        const val FIRST_REQUEST_MILLISECONDS = 250L

        /** Lower bound of the time between two checks of a connection whose response is not sent yet. */
        const val MINIMUM_IDLE_CHECK_MILLISECONDS = 50L

        /** Number of queued pipelined requests at which reading stops. */
        const val MAXIMUM_QUEUED_REQUESTS = 8

        /** Added to the header timeout; a body that takes longer would exceed the deadlines of most requests. */
        const val BODY_READ_TIMEOUT_MILLISECONDS = 7_000L
    }
}
