package org.heatherwind.gateway.peer

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.gateway.http.SimpleHttpListener
import org.heatherwind.gateway.http.SimpleResponse
import java.net.InetSocketAddress

/** A call that other routers may make. */
internal class PeerEndpoint<Q, A>(
    val path: String,
    private val question: KSerializer<Q>,
    private val answer: KSerializer<A>,
    private val handle: (Q) -> A,
) {
    /** The answer to [text], or null where it cannot be read. */
    fun answerTo(text: String): String? {
        val read = try {
            Json.decodeFromString(question, text)
        } catch (_: SerializationException) {
            return null
        }
        return Json.encodeToString(answer, handle(read))
    }
}

/** Answers the [calls] of other routers. */
internal class PeerServer(group: EventLoopGroup, calls: List<PeerEndpoint<*, *>>) {
    private val callsByPath = calls.associateBy { it.path }
    private val listener = SimpleHttpListener(group) { answerTo(it) }

    /** Listens on [address]; fails where the address is taken. */
    fun listen(address: InetSocketAddress): Unit = listener.listen(address)

    private fun answerTo(request: FullHttpRequest): SimpleResponse {
        val answer = callsByPath[request.uri()]?.answerTo(request.content().toString(Charsets.UTF_8))
        val status = if (answer == null) HttpResponseStatus.BAD_REQUEST else HttpResponseStatus.OK
        return SimpleResponse(status.code(), answer.orEmpty().encodeToByteArray())
    }
}
