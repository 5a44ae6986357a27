package org.heatherwind.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import kotlinx.coroutines.channels.Channel as Queue

/** What comes from the peer of a client connection, in order. */
internal sealed interface ResponsePart {
    /** The head of an answer. */
    class Head(val response: HttpResponse) : ResponsePart

    /** A piece of the body; the receiver releases it. */
    class Body(val content: ByteBuf) : ResponsePart

    /** The answer is whole. */
    data object End : ResponsePart

    /** Nothing more comes. */
    class Broken(val reason: String) : ResponsePart
}

/** One connection to a target or to the store, used for one request at a time. Confined to its event loop. */
internal class ClientConnection(val channel: Channel, private val clock: MonotonicClock) {
    private val parts = Queue<ResponsePart>(Queue.UNLIMITED)
    private var bufferedBytes = 0
    private var isWritten = true
    private var isAnswerFramed = true

    /** Whether a request is open on the connection. */
    var isBusy = false
        private set

    /** When the last whole answer ended. */
    var idleSince: MonotonicTime = clock.now()
        private set

    /** When the peer closes the connection if it stays idle, by the peer's word, less a margin for the way. */
    var idleLimit: MonotonicTime? = null
        private set

    private var keepAliveSeconds: Long? = null

    /** The peer ends the connection after the present answer. */
    var isClosing = false

    val isOpen: Boolean get() = channel.isActive

    init {
        channel.pipeline().addLast(Receiver())
    }

    /** Writes a request whose body is [body] whole. */
    fun send(method: HttpMethod, uri: String, headers: HttpHeaders, body: ByteArray) {
        isBusy = true
        isWritten = false
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
        channel.writeAndFlush(request).addListener { done -> if (done.isSuccess) isWritten = true }
    }

    /** The next part of the answer. */
    suspend fun receive(): ResponsePart {
        val part = parts.receiveCatching().getOrNull() ?: ResponsePart.Broken("connection closed")
        if (part is ResponsePart.Body) {
            bufferedBytes -= part.content.readableBytes()
            if (bufferedBytes < RESUME_READING_BYTES && !channel.config().isAutoRead) channel.config().isAutoRead = true
        }
        return part
    }

    /**
     * Marks the answer as received whole. Answers whether the connection may carry another request: nothing follows the
     * answer, the request was written whole, and the peer did not announce the end.
     */
    fun finish(): Boolean {
        isBusy = false
        idleSince = clock.now()
        idleLimit =
            keepAliveSeconds?.let {
                idleSince.plusMilliseconds(it * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MILLISECONDS)
            }
        return isOpen && isWritten && isAnswerFramed && !isClosing && parts.isEmpty
    }

    /** Closes the connection and drops what has not been read. */
    fun close() {
        parts.close()
        while (true) {
            val part = parts.tryReceive().getOrNull() ?: break
            if (part is ResponsePart.Body) part.content.release()
        }
        channel.close()
    }

    private inner class Receiver : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (!isBusy) {
                ReferenceCountUtil.release(message)
                context.close()
                return
            }
            if (message is HttpResponse) receiveHead(message)
            if (message is HttpContent) receiveContent(message)
        }

        private fun receiveHead(response: HttpResponse) {
            if (response.decoderResult().isFailure) return breakOff("unreadable answer")
            isAnswerFramed = HttpUtil.isTransferEncodingChunked(response) ||
                response.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ||
                response.status().code() in BODILESS_STATUSES
            if (!HttpUtil.isKeepAlive(response)) isClosing = true
            keepAliveSeconds = response.headers()[KEEP_ALIVE]?.substringAfter("timeout=", "")
                ?.takeWhile { it.isDigit() }?.toLongOrNull()
            offer(ResponsePart.Head(response))
        }

        private fun receiveContent(content: HttpContent) {
            if (content.decoderResult().isFailure) {
                content.release()
                return breakOff("unreadable body")
            }
            val bytes = content.content()
            if (bytes.isReadable) {
                bufferedBytes += bytes.readableBytes()
                if (bufferedBytes > STOP_READING_BYTES) channel.config().isAutoRead = false
                offer(ResponsePart.Body(bytes))
            } else {
                content.release()
            }
            if (content is LastHttpContent) offer(ResponsePart.End)
        }

        private fun offer(part: ResponsePart) {
            if (parts.trySend(part).isFailure && part is ResponsePart.Body) part.content.release()
        }

        private fun breakOff(reason: String) {
            offer(ResponsePart.Broken(reason))
            channel.close()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            offer(ResponsePart.Broken("connection closed"))
            parts.close()
            context.fireChannelInactive()
        }

        @Deprecated("declared so by Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            offer(ResponsePart.Broken(cause.message ?: cause.javaClass.simpleName))
            context.close()
        }
    }

    private companion object {
        val NO_TRAILERS: HttpHeaders = DefaultHttpHeadersFactory.trailersFactory().newHeaders()

        const val KEEP_ALIVE = "Keep-Alive"
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** A request must arrive before the peer gives up on the connection. */
        const val IDLE_MARGIN_MILLISECONDS = 300L

        /** What one answer may hold unread; a few of the largest events. */
        const val STOP_READING_BYTES = 65_536
        const val RESUME_READING_BYTES = 16_384
    }
}
