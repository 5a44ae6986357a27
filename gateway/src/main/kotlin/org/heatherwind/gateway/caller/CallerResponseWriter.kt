package org.heatherwind.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
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

/**
 * Writes the response to one request. Closes the connection if the response is incomplete, so that the caller does not
 * take it for a complete one.
 */
internal class CallerResponseWriter(
    private val channel: Channel,
    private val request: HttpRequest,
    private val clock: MonotonicClock,
    private val mayKeepAlive: () -> Boolean,
) {
    private var isKeptAlive = false

    /** Whether the complete response has been written. */
    var isFinished = false
        private set

    private var lastWrite: ChannelFuture? = null

    /** Whether everything that was written has been handed to the operating system, or failed. */
    val isSent: Boolean get() = lastWrite?.isDone ?: true

    /** When the head was written, or null before. */
    var startedAt: MonotonicTime? = null
        private set

    /** Whether the head has been written. */
    val hasStarted: Boolean get() = startedAt != null

    /** Sends a complete response. */
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
        setConnectionHeader(response)
        startedAt = clock.now()
        writeLast(response)
    }

    /** Sends the head of a response whose body follows in chunks. */
    fun start(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnectionHeader(response)
        startedAt = clock.now()
        channel.write(response)
    }

    /** Sends a chunk of the body; suspends until it is written if the channel's write buffer is full. */
    suspend fun write(bytes: ByteBuf) {
        val written = channel.writeAndFlush(DefaultHttpContent(bytes))
        if (!channel.isWritable) written.awaitSuccess()
    }

    /** Completes a response that [start] began. */
    fun finish() {
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    private fun writeLast(message: Any) {
        isFinished = true
        val written = channel.writeAndFlush(message).also { lastWrite = it }
        written.addListener(if (isKeptAlive) ChannelFutureListener.CLOSE_ON_FAILURE else ChannelFutureListener.CLOSE)
    }

    /** Calls [act] when [isSent] becomes true. */
    fun onSent(act: () -> Unit) {
        val write = lastWrite
        if (write == null) act() else write.addListener { act() }
    }

    /** Closes the connection if the response is not complete. */
    fun closeIfUnfinished() {
        if (!isFinished && channel.isOpen) channel.close()
    }

    private fun setConnectionHeader(response: HttpResponse) {
        isKeptAlive = HttpUtil.isKeepAlive(request) && mayKeepAlive()
        val value = if (isKeptAlive) HttpHeaderValues.KEEP_ALIVE else HttpHeaderValues.CLOSE
        response.headers().set(HttpHeaderNames.CONNECTION, value)
    }
}
