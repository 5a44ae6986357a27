package org.heatherwind.gateway.peer

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.gateway.document.BoundedJson
import org.heatherwind.gateway.http.SimpleHttpListener
import org.heatherwind.gateway.http.SimpleResponse
import java.net.InetSocketAddress

/**
 * An endpoint for calls of other routers.
 *
 * @property path HTTP path of the endpoint
 * @param handler computes the response to a request
 */
internal class PeerEndpoint<Request, Response>(
    val path: String,
    private val requestSerializer: KSerializer<Request>,
    private val responseSerializer: KSerializer<Response>,
    private val handler: (Request) -> Response,
) {
    /** Returns the JSON response to the JSON request [text], or null if [text] cannot be parsed. */
    fun responseTo(text: String): String? {
        val request = try {
            BoundedJson.decode(requestSerializer, text)
        } catch (_: SerializationException) {
            return null
        }
        return Json.encodeToString(responseSerializer, handler(request))
    }
}

/** Serves the [endpoints] for calls of other routers. */
internal class PeerServer(group: EventLoopGroup, endpoints: List<PeerEndpoint<*, *>>) {
    private val endpointsByPath = endpoints.associateBy { it.path }
    private val listener = SimpleHttpListener(group) { responseTo(it) }

    /** Listens on [address] and returns it with the bound port; throws an exception if the address is in use. */
    fun listen(address: InetSocketAddress): InetSocketAddress = listener.listen(address)

    private fun responseTo(request: FullHttpRequest): SimpleResponse {
        val response = endpointsByPath[request.uri()]?.responseTo(request.content().toString(Charsets.UTF_8))
        val status = if (response == null) HttpResponseStatus.BAD_REQUEST else HttpResponseStatus.OK
        return SimpleResponse(status.code(), response.orEmpty().encodeToByteArray())
    }
}
