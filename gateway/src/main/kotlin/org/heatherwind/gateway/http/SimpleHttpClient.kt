package org.heatherwind.gateway.http

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.identity.MonotonicClock
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress

/** What a call gave. */
public sealed interface CallResult {
    /** A whole answer. */
    public class Answered(public val status: Int, public val body: ByteArray) : CallResult

    /** No byte of the call left this process. */
    public data class NotSent(val reason: String) : CallResult

    /** The call was sent and no whole answer came. */
    public data class NoResponse(val reason: String) : CallResult
}

/** Makes short calls whose answers are kept whole in memory. */
public class SimpleHttpClient(eventLoop: EventLoop, private val clock: MonotonicClock) {
    private val connections = ClientConnections(eventLoop, clock)

    /** Calls [uri] at [address] and waits [timeoutMilliseconds] for the whole answer. */
    public suspend fun call(
        address: InetSocketAddress,
        method: HttpMethod,
        uri: String,
        body: ByteArray,
        timeoutMilliseconds: Long,
    ): CallResult {
        val usableSince = clock.now().plusMilliseconds(-MAXIMUM_IDLE_MILLISECONDS)
        val connection = connections.reuse(address, usableSince)
            ?: connections.open(address, timeoutMilliseconds)
            ?: return CallResult.NotSent("no connection to $address")
        var outcome: CallResult? = null
        try {
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            headers.set(HttpHeaderNames.HOST, address.hostAndPort)
            connection.send(method, uri, headers, body)
            outcome = withTimeoutOrNull(timeoutMilliseconds) { collect(connection) }
            return outcome ?: CallResult.NoResponse("no answer within $timeoutMilliseconds ms")
        } finally {
            if (outcome is CallResult.Answered && connection.finish()) {
                connections.release(connection, address)
            } else {
                connection.close()
            }
        }
    }

    private suspend fun collect(connection: ClientConnection): CallResult {
        val body = ByteArrayOutputStream()
        var status = 0
        while (true) {
            when (val part = connection.receive()) {
                is ResponsePart.Head -> status = part.response.status().code()

                is ResponsePart.Body -> {
                    part.content.readBytes(body, part.content.readableBytes())
                    part.content.release()
                }

                ResponsePart.End -> return CallResult.Answered(status, body.toByteArray())

                is ResponsePart.Broken -> return CallResult.NoResponse(part.reason)
            }
        }
    }

    private companion object {
        /** Calls are made every few hundred milliseconds, so an older connection may be stale. */
        const val MAXIMUM_IDLE_MILLISECONDS = 4_000L
    }
}
