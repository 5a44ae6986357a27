package org.heatherwind.gateway.peer

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.gateway.http.CallResult
import org.heatherwind.gateway.http.SimpleHttpClient
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/** Calls other routers. */
internal class PeerClient(private val caller: SimpleHttpClient, private val log: DecisionLog) {
    /** The answer of [peer] to [question], or null where none came that can be read. */
    suspend fun <Q, A> ask(
        peer: InetSocketAddress,
        path: String,
        question: Q,
        questionSerializer: KSerializer<Q>,
        answerSerializer: KSerializer<A>,
    ): A? {
        val body = Json.encodeToString(questionSerializer, question).encodeToByteArray()
        return when (val outcome = caller.call(peer, HttpMethod.POST, path, body, TIMEOUT_MILLISECONDS)) {
            is CallResult.NotSent -> failed(peer, path, outcome.reason)

            is CallResult.NoResponse -> failed(peer, path, outcome.reason)

            is CallResult.Answered -> try {
                Json.decodeFromString(answerSerializer, outcome.body.decodeToString())
            } catch (_: SerializationException) {
                failed(peer, path, "an unreadable answer of status ${outcome.status}")
            }
        }
    }

    private fun <A> failed(peer: InetSocketAddress, path: String, reason: String): A? {
        log.stateChange("peer", "Another router did not answer.", "peer" to peer, "path" to path, "reason" to reason)
        return null
    }

    private companion object {
        /** Many times the delay between data centres; a peer that is cut off must not hold up the request. */
        const val TIMEOUT_MILLISECONDS = 60L
    }
}
