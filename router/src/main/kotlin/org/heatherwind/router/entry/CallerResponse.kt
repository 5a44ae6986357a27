package org.heatherwind.router.entry

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.result.ResultCode

/** How an engine's answer reaches its caller. */
internal sealed interface CallerResponse {
    /** Passes one piece on. */
    suspend fun piece(piece: EngineEvent.Piece)

    /** Ends a whole answer. */
    suspend fun finish()

    /** Ends an answer that is not whole. */
    suspend fun fail(code: ResultCode)

    /** Pieces are sent as they come. */
    class Streamed(private val channel: ByteWriteChannel, private val request: RequestKey) : CallerResponse {
        override suspend fun piece(piece: EngineEvent.Piece) = event(piece.data)

        override suspend fun finish() = event("[DONE]")

        override suspend fun fail(code: ResultCode) = event(EntryError.document(code, request))

        private suspend fun event(data: String) {
            channel.writeStringUtf8("data: $data\n\n")
            channel.flush()
        }
    }

    /** Pieces are collected, and the answer is sent as one document. */
    class Collected(private val call: ApplicationCall, private val request: RequestKey, private val model: String) :
        CallerResponse {
        private val text = StringBuilder()
        private var usage: EngineUsage? = null

        override suspend fun piece(piece: EngineEvent.Piece) {
            text.append(piece.text)
            piece.tokens?.let { usage = it }
        }

        override suspend fun finish() = call.respondText(document(), ContentType.Application.Json)

        override suspend fun fail(code: ResultCode) = EntryError.respond(call, code, request)

        private fun document(): String = buildJsonObject {
            put("object", "chat.completion")
            put("model", model)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("message") {
                        put("role", "assistant")
                        put("content", text.toString())
                    }
                    put("finish_reason", "stop")
                }
            }
            usage?.let {
                putJsonObject("usage") {
                    put("prompt_tokens", it.promptTokens)
                    put("completion_tokens", it.completionTokens)
                    put("total_tokens", it.total)
                }
            }
        }.toString()
    }

    companion object {
        /** Opens an answer to [call] and hands it to [use]. */
        suspend fun open(
            call: ApplicationCall,
            request: RequestKey,
            chat: ChatRequest,
            use: suspend (CallerResponse) -> Unit,
        ) {
            call.response.headers.append(EntryError.REQUEST_HEADER, request.value)
            if (chat.isStreamed) {
                call.respondBytesWriter(ContentType.Text.EventStream) { use(Streamed(this, request)) }
            } else {
                use(Collected(call, request, chat.model))
            }
        }
    }
}
