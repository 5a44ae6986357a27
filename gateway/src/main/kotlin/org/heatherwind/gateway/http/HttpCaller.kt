package org.heatherwind.gateway.http

import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.identity.SteadyClock
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress

/** What a call gave. */
public sealed interface CallOutcome {
    /** A whole answer. */
    public class Answered(public val status: Int, public val body: ByteArray) : CallOutcome

    /** No byte of the call left this process. */
    public data class NotSent(val reason: String) : CallOutcome

    /** The call was sent and no whole answer came. */
    public data class NoAnswer(val reason: String) : CallOutcome
}

/** Makes short calls whose answers are kept whole in memory. */
public class HttpCaller(eventLoop: EventLoop, private val clock: SteadyClock) {
    private val connections = ClientConnections(eventLoop, clock)

    /** Calls [uri] at [address] and waits [timeoutMilliseconds] for the whole answer. */
    public suspend fun call(
        address: InetSocketAddress,
        method: HttpMethod,
        uri: String,
        body: ByteArray,
        timeoutMilliseconds: Long,
    ): CallOutcome {
        val usableSince = clock.now().plusMilliseconds(-MAXIMUM_IDLE_MILLISECONDS)
        val connection = connections.reuse(address, usableSince)
            ?: connections.open(address, timeoutMilliseconds)
            ?: return CallOutcome.NotSent("no connection to $address")
        var outcome: CallOutcome? = null
        try {
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            headers.set(HttpHeaderNames.HOST, address.hostAndPort)
            connection.send(method, uri, headers, body)
            outcome = withTimeoutOrNull(timeoutMilliseconds) { collect(connection) }
            return outcome ?: CallOutcome.NoAnswer("no answer within $timeoutMilliseconds ms")
        } finally {
            if (outcome is CallOutcome.Answered && connection.finish()) {
                connections.release(connection, address)
            } else {
                connection.close()
            }
        }
    }

    private suspend fun collect(connection: ClientConnection): CallOutcome {
        val body = ByteArrayOutputStream()
        var status = 0
        while (true) {
            when (val part = connection.receive()) {
                is AnswerPart.Head -> status = part.response.status().code()

                is AnswerPart.Body -> {
                    part.content.readBytes(body, part.content.readableBytes())
                    part.content.release()
                }

                AnswerPart.End -> return CallOutcome.Answered(status, body.toByteArray())

                is AnswerPart.Broken -> return CallOutcome.NoAnswer(part.reason)
            }
        }
    }

    private companion object {
        /** Calls are made every few hundred milliseconds, so an older connection may be stale. */
        const val MAXIMUM_IDLE_MILLISECONDS = 4_000L
    }
}
