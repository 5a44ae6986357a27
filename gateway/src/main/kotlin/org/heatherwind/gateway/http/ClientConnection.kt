package org.heatherwind.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.nio.AbstractNioChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.relay.TunnelFrames
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.channels.Channel as Queue

/** The parts of a response, in the order in which the peer sends them. */
internal sealed interface ResponsePart {
    /** The head of a response. */
    class Head(val response: HttpResponse) : ResponsePart

    /** A chunk of the body; the receiver releases it. */
    class Body(val content: ByteBuf) : ResponsePart

    /** The response is complete. */
    data object End : ResponsePart

    /** The connection failed or was closed; nothing follows. */
    class Failed(val reason: String) : ResponsePart
}

/** One connection to a target, a router or the store, for one request at a time. Confined to its event loop. */
internal class ClientConnection(val channel: Channel, private val clock: MonotonicClock) {
    private val parts = Queue<ResponsePart>(Queue.UNLIMITED) { if (it is ResponsePart.Body) it.content.release() }

    /** What the parts in [parts] take, with an allowance for heads. */
    private var bufferedBytes = 0
    private var isRequestWritten = true

    /** Informational responses received for the current request. */
    private var informationalResponses = 0

    /** Null if the connection had ended before this was created. */
    private val decoder: ResponseDecoder? = channel.pipeline().get(ResponseDecoder::class.java)

    /** Whether the connection leads through another router. */
    val isRelayed: Boolean = channel.pipeline().get(TunnelFrames.EndReader::class.java) != null

    /** Whether the current response states where it ends; others end with the connection. */
    var isResponseFramed = true
        private set

    /** Whether the current response began before its request was written completely. */
    private var isResponseEarly = false

    private var hasRequestBody = false

    /** Whether an unframed response has ended that [ResponseReader.confirmEnd] has not confirmed yet. */
    private var isEndUnconfirmed = false

    /** Whether the peer ended the connection, as opposed to a reset or to a close by this process. */
    private var isEndedByPeer = false

    /** Bytes received in response to the current request, with heads and framing. */
    var receivedBytes = 0L
        private set

    /** Parts of responses received for the current request. */
    var receivedParts = 0L
        private set

    /** Requests sent on the connection. */
    var requestCount = 0
        private set

    /** Whether a request is in progress on the connection. */
    var isBusy = false
        private set

    /** When the last complete response ended. */
    var idleSince: MonotonicTime = clock.now()
        private set

    /** When the connection may no longer be reused, from the peer's keep-alive timeout, or null if it sent none. */
    var idleDeadline: MonotonicTime? = null
        private set

    private var keepAliveSeconds: Long? = null

    /** Whether the connection must not be reused after the current response. */
    var isClosing = false

    val isOpen: Boolean get() = channel.isActive

    /** Whether the connection is open and parts of a response have arrived that were not received yet. */
    val hasArrivedParts: Boolean get() = isOpen && !parts.isEmpty

    init {
        // A relayed connection has decoders of its own before that of the response.
        channel.pipeline().context(ResponseDecoder::class.java)
            ?.let { channel.pipeline().addBefore(it.name(), null, RawReader()) }
        channel.pipeline().addLast(ResponseReader())
        if (!channel.isActive) parts.close()
    }

    /**
     * Reads the bytes that have arrived on this idle connection, which belong to no request and close it. They would
     * otherwise be taken for the response to the next request if the event loop had not yet read them.
     */
    fun readArrivedBytes() {
        (channel.unsafe() as? AbstractNioChannel.NioUnsafe)?.takeIf { isOpen && !isBusy }?.read()
    }

    /** Writes a request with the complete [body]. */
    fun send(method: HttpMethod, uri: String, headers: HttpHeaders, body: ByteArray) {
        isBusy = true
        isRequestWritten = false
        hasRequestBody = body.isNotEmpty()
        requestCount++
        receivedBytes = 0
        receivedParts = 0
        informationalResponses = 0
        decoder?.requestMethod = method
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            uri,
            Unpooled.wrappedBuffer(body),
            headers,
            NO_TRAILERS,
        )
        if (body.isNotEmpty() || method == HttpMethod.POST || method == HttpMethod.PUT) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        channel.writeAndFlush(request).addListener { done -> if (done.isSuccess) isRequestWritten = true }
    }

    /** Waits for the next part of the response. */
    suspend fun receive(): ResponsePart = received(parts.receiveCatching().getOrNull() ?: ResponsePart.Failed(CLOSED))

    /** Waits for the next part of the response up to [deadline]. Returns null if none has arrived by then. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun receive(deadline: MonotonicTime): ResponsePart? {
        receiveIfAvailable()?.let { return it }
        val remaining = deadline.millisecondsSince(clock.now())
        if (remaining <= 0) return null
        // Unlike a timeout around receive, a select does not discard a part that arrives together with the timer.
        return select {
            parts.onReceiveCatching { received(it.getOrNull() ?: ResponsePart.Failed(CLOSED)) }
            onTimeout(remaining) { null }
        }
    }

    /** Returns the next part of the response if it has arrived already, otherwise null. */
    fun receiveIfAvailable(): ResponsePart? = parts.tryReceive().getOrNull()?.let { received(it) }

    private fun received(part: ResponsePart): ResponsePart {
        bufferedBytes -= heldBytesOf(part)
        if (bufferedBytes < RESUME_READING_BYTES && !channel.config().isAutoRead) channel.config().isAutoRead = true
        return part
    }

    private fun heldBytesOf(part: ResponsePart): Int = when (part) {
        is ResponsePart.Body -> part.content.readableBytes()
        is ResponsePart.Head -> HEAD_BYTES
        ResponsePart.End, is ResponsePart.Failed -> 0
    }

    /**
     * Marks the response as completely received. Returns whether the connection may carry another request: the request
     * was written completely, the response had a defined length and nothing follows it, and the connection stays open.
     */
    fun finish(): Boolean {
        isBusy = false
        idleSince = clock.now()
        idleDeadline =
            keepAliveSeconds?.let {
                idleSince.plusMilliseconds(it * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MILLISECONDS)
            }
        return isOpen && isRequestWritten && isResponseFramed && !isClosing && parts.isEmpty &&
            decoder?.hasFurtherBytes == false
    }

    /** Closes the connection and releases the parts that were not received. */
    fun close() {
        parts.close()
        while (true) {
            val part = parts.tryReceive().getOrNull() ?: break
            if (part is ResponsePart.Body) part.content.release()
        }
        channel.close()
    }

    /**
     * Precedes the decoder. Closes the connection when bytes arrive on it while no request is in progress, and notes
     * its end, since the decoder ends a response without length however the connection ended.
     */
    private inner class RawReader : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (isBusy) {
                if (message is ByteBuf) receivedBytes += message.readableBytes()
                context.fireChannelRead(message)
            } else {
                ReferenceCountUtil.release(message)
                context.close()
            }
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event === ChannelInputShutdownEvent.INSTANCE) isEndedByPeer = true
            context.fireUserEventTriggered(event)
        }
    }

    private inner class ResponseReader : ChannelInboundHandlerAdapter() {
        /** The body bytes of the current read, which are one part whatever the sizes of the chunks, or null. */
        private var arrivedBody: ByteBuf? = null

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpResponse) receiveHead(message)
            if (message is HttpContent) receiveContent(context, message)
        }

        private fun receiveHead(response: HttpResponse) {
            if (response.decoderResult().isFailure) return fail("malformed response head")
            if (response.status().code() !in STATUSES) return fail("invalid status ${response.status().code()}")
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                informationalResponses++
                if (informationalResponses > MAXIMUM_INFORMATIONAL) return fail("informational responses without end")
            }
            isResponseFramed = HttpUtil.isTransferEncodingChunked(response) ||
                response.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ||
                response.status().codeClass() == HttpStatusClass.INFORMATIONAL ||
                response.status().code() in BODILESS_STATUSES ||
                decoder?.requestMethod == HttpMethod.HEAD
            isResponseEarly = !isRequestWritten
            if (!HttpUtil.isKeepAlive(response)) isClosing = true
            keepAliveSeconds = response.headers()[KEEP_ALIVE]?.substringAfter("timeout=", "")
                ?.takeWhile { it.isDigit() }?.toLongOrNull()
            offer(ResponsePart.Head(response))
        }

        private fun receiveContent(context: ChannelHandlerContext, content: HttpContent) {
            if (content.decoderResult().isFailure) {
                content.release()
                return fail("malformed response body")
            }
            val bytes = content.content()
            if (bytes.isReadable) {
                val body = arrivedBody ?: Unpooled.buffer(bytes.readableBytes()).also { arrivedBody = it }
                body.writeBytes(bytes)
            }
            content.release()
            if (content is LastHttpContent) {
                // A peer that resets the upload may end its output first, and the two arrive in any order.
                val isEnded = isEndedByPeer && !isResponseEarly
                when {
                    isResponseFramed || (isEnded && !hasRequestBody) -> offer(ResponsePart.End)
                    isEnded -> confirmEnd(context)
                    else -> offer(ResponsePart.Failed(CUT_BODY))
                }
            }
        }

        /**
         * Ends the response if the peer does not reset the connection soon, as it does if it has not read the body of
         * the request. That the body was written says nothing, since the operating systems hold megabytes. An empty
         * line, which peers ignore after a request, fails on a connection that was reset.
         */
        private fun confirmEnd(context: ChannelHandlerContext) {
            isEndUnconfirmed = true
            context.executor().schedule({ writeEmptyLine(context) }, RESET_MILLISECONDS, TimeUnit.MILLISECONDS)
        }

        private fun writeEmptyLine(context: ChannelHandlerContext) {
            // Past the encoder, which takes requests only.
            val decoderContext = context.pipeline().context(ResponseDecoder::class.java)
            val line = Unpooled.copiedBuffer(EMPTY_LINE, Charsets.US_ASCII)
            decoderContext.writeAndFlush(line).addListener { written ->
                offer(if (written.isSuccess) ResponsePart.End else ResponsePart.Failed(CUT_BODY))
                context.close()
            }
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event === ChannelInputShutdownEvent.INSTANCE && !isEndUnconfirmed) context.close()
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            offerBody()
            context.fireChannelReadComplete()
        }

        private fun offerBody() {
            val body = arrivedBody ?: return
            arrivedBody = null
            enqueue(ResponsePart.Body(body))
        }

        private fun offer(part: ResponsePart) {
            offerBody()
            enqueue(part)
        }

        private fun enqueue(part: ResponsePart) {
            receivedParts++
            val held = heldBytesOf(part)
            if (parts.trySend(part).isSuccess) {
                bufferedBytes += held
                if (bufferedBytes > PAUSE_READING_BYTES) channel.config().isAutoRead = false
            } else if (part is ResponsePart.Body) {
                part.content.release()
            }
        }

        private fun fail(reason: String) {
            offer(ResponsePart.Failed(reason))
            channel.close()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            offer(ResponsePart.Failed(CLOSED))
            parts.close()
            context.fireChannelInactive()
        }

        @Deprecated("deprecated in Netty's ChannelHandlerAdapter")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            offer(ResponsePart.Failed(cause.message ?: cause.javaClass.simpleName))
            context.close()
        }
    }

    private companion object {
        val NO_TRAILERS: HttpHeaders = DefaultHttpHeadersFactory.trailersFactory().newHeaders()

        const val CLOSED = "connection closed"
        const val CUT_BODY = "connection failed within the body"
        const val EMPTY_LINE = "\r\n"

        /** Several times what a reset that follows the end of the output takes between data centres. */
        const val RESET_MILLISECONDS = 100L
        const val KEEP_ALIVE = "Keep-Alive"
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** The valid statuses (RFC 9110, section 15). */
        val STATUSES = 100..599

        /** Subtracted from the peer's timeout, so that a request arrives before the peer closes the connection. */
        const val IDLE_MARGIN_MILLISECONDS = 300L

        /** Allowance for a decoded head, most of which are short. */
        const val HEAD_BYTES = 1_024

        /** A server sends one or two before the final response. */
        const val MAXIMUM_INFORMATIONAL = 32

        /** Reading stops above this number of buffered bytes, which holds a few events of the largest size. */
        const val PAUSE_READING_BYTES = 65_536
        const val RESUME_READING_BYTES = 16_384
    }
}
