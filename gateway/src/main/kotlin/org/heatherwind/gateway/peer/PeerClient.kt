package org.heatherwind.gateway.peer

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.gateway.document.BoundedJson
import org.heatherwind.gateway.http.CallResult
import org.heatherwind.gateway.http.SimpleHttpClient
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/**
 * Calls peer endpoints of other routers.
 *
 * @param timeoutMilliseconds time to connect, and again for the response
 */
internal class PeerClient(
    private val httpClient: SimpleHttpClient,
    private val log: DecisionLog,
    private val timeoutMilliseconds: Long = DEFAULT_TIMEOUT_MILLISECONDS,
) {
    /** Returns the response of [peer] to [request], or null on a timeout or if the response cannot be parsed. */
    suspend fun <Request, Response> call(
        peer: InetSocketAddress,
        path: String,
        request: Request,
        requestSerializer: KSerializer<Request>,
        responseSerializer: KSerializer<Response>,
    ): Response? {
        val body = Json.encodeToString(requestSerializer, request).encodeToByteArray()
        return when (val result = httpClient.call(peer, HttpMethod.POST, path, body, timeoutMilliseconds)) {
            is CallResult.NotSent -> logFailure(peer, path, result.reason)

            is CallResult.NoResponse -> logFailure(peer, path, result.reason)

            is CallResult.Responded -> try {
                BoundedJson.decode(responseSerializer, result.body.decodeToString())
            } catch (_: SerializationException) {
                logFailure(peer, path, "response of status ${result.status} cannot be parsed")
            }
        }
    }

    private fun <Response> logFailure(peer: InetSocketAddress, path: String, reason: String): Response? {
        log.stateChange("peer", "A call to another router failed.", "peer" to peer, "path" to path, "reason" to reason)
        return null
    }

    private companion object {
        /** Many times the latency between data centres; an unreachable peer must not delay the request. */
        const val DEFAULT_TIMEOUT_MILLISECONDS = 60L
    }
}
