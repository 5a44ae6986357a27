package org.heatherwind.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.http.BODILESS_STATUSES
import org.heatherwind.gateway.http.awaitSuccess

/** The answer to one request. An answer that is not finished ends with the connection, so that it cannot look whole. */
internal class CallerResponseWriter(
    private val channel: Channel,
    private val request: HttpRequest,
    private val clock: MonotonicClock,
    private val mayKeep: () -> Boolean,
) {
    private var keepsConnection = false
    private var isFinished = false

    /** When the head was written, or null before. */
    var begunAt: MonotonicTime? = null
        private set

    /** Whether the head has been written. */
    val hasBegun: Boolean get() = begunAt != null

    /** Sends a whole answer. */
    fun respond(status: Int, headers: HttpHeaders, body: ByteArray) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders(),
        )
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING)
        if (status !in BODILESS_STATUSES) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        decideConnection(response)
        begunAt = clock.now()
        isFinished = true
        val written = channel.writeAndFlush(response)
        if (!keepsConnection) written.addListener(ChannelFutureListener.CLOSE)
    }

    /** Sends the head of an answer whose body follows in pieces. */
    fun begin(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        decideConnection(response)
        begunAt = clock.now()
        channel.write(response)
    }

    /** Sends a piece of the body, and waits while the caller reads too slowly. */
    suspend fun write(bytes: ByteBuf) {
        val written = channel.writeAndFlush(DefaultHttpContent(bytes))
        if (!channel.isWritable) written.awaitSuccess()
    }

    /** Marks the answer as whole. */
    fun finish() {
        isFinished = true
        val written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        if (!keepsConnection) written.addListener(ChannelFutureListener.CLOSE)
    }

    /** Closes the connection where the answer was not finished. */
    fun end() {
        if (!isFinished && channel.isOpen) channel.close()
    }

    private fun decideConnection(response: HttpResponse) {
        keepsConnection = HttpUtil.isKeepAlive(request) && mayKeep()
        val value = if (keepsConnection) HttpHeaderValues.KEEP_ALIVE else HttpHeaderValues.CLOSE
        response.headers().set(HttpHeaderNames.CONNECTION, value)
    }
}
