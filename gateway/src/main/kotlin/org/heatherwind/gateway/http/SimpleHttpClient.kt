package org.heatherwind.gateway.http

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.identity.MonotonicClock
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress

/** The result of a call. */
public sealed interface CallResult {
    /** A complete response. */
    public class Responded(public val status: Int, public val body: ByteArray, private val headers: HttpHeaders) :
        CallResult {
        /** Returns the value of the header [name], or null if the response has none. */
        public fun header(name: String): String? = headers[name]
    }

    /** No byte of the call was sent. */
    public data class NotSent(val reason: String) : CallResult

    /** The call was sent, but no complete response was received; its outcome is unknown. */
    public data class NoResponse(val reason: String) : CallResult
}

/** Makes HTTP calls with short responses, which are buffered in memory. */
public class SimpleHttpClient(eventLoop: EventLoop, private val clock: MonotonicClock) {
    private val connections = ConnectionPool(eventLoop, clock)

    /** Calls [uri] at [address]; waits at most [timeoutMilliseconds] to connect and again for the complete response. */
    public suspend fun call(
        address: InetSocketAddress,
        method: HttpMethod,
        uri: String,
        body: ByteArray,
        timeoutMilliseconds: Long,
    ): CallResult {
        val usableSince = clock.now().plusMilliseconds(-MAXIMUM_IDLE_MILLISECONDS)
        val connection = connections.acquireIdle(address, usableSince)
            ?: connections.connect(address, timeoutMilliseconds)
            ?: return CallResult.NotSent("could not connect to $address")
        var outcome: CallResult? = null
        try {
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            headers.set(HttpHeaderNames.HOST, address.hostAndPort)
            connection.send(method, uri, headers, body)
            outcome = withTimeoutOrNull(timeoutMilliseconds) { collect(connection) }
            return outcome ?: CallResult.NoResponse("no response within $timeoutMilliseconds ms")
        } finally {
            if (outcome is CallResult.Responded && connection.finish()) {
                connections.release(connection, address)
            } else {
                connection.close()
            }
        }
    }

    private suspend fun collect(connection: ClientConnection): CallResult {
        val body = ByteArrayOutputStream()
        var status = 0
        var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE
        while (true) {
            when (val part = connection.receive()) {
                is ResponsePart.Head -> {
                    status = part.response.status().code()
                    headers = part.response.headers()
                }

                is ResponsePart.Body -> {
                    part.content.readBytes(body, part.content.readableBytes())
                    part.content.release()
                    if (body.size() > MAXIMUM_RESPONSE_BYTES) return CallResult.NoResponse("a response without end")
                }

                ResponsePart.End -> return CallResult.Responded(status, body.toByteArray(), headers)

                is ResponsePart.Failed -> return CallResult.NoResponse(part.reason)
            }
        }
    }

    private companion object {
        /** Several times the largest page of the store. */
        const val MAXIMUM_RESPONSE_BYTES = 4_194_304

        /** Calls are made every few hundred milliseconds; a connection that was idle for longer may be stale. */
        const val MAXIMUM_IDLE_MILLISECONDS = 4_000L
    }
}
