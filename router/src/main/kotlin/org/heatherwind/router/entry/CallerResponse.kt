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

/** The response to a caller's chat completion, either streamed or as one document. */
internal sealed interface CallerResponse {
    /** Adds one chunk to the response. */
    suspend fun write(chunk: EngineEvent.Chunk)

    /** Ends a complete response. */
    suspend fun finish()

    /** Ends an incomplete response with the error document of [code]. */
    suspend fun fail(code: ResultCode)

    /** Sends each chunk as a server-sent event as soon as it arrives. */
    class Streamed(private val channel: ByteWriteChannel, private val request: RequestKey) : CallerResponse {
        override suspend fun write(chunk: EngineEvent.Chunk) = writeEvent(chunk.data)

        override suspend fun finish() = writeEvent("[DONE]")

        override suspend fun fail(code: ResultCode) = writeEvent(ErrorResponse.document(code, request))

        private suspend fun writeEvent(data: String) {
            channel.writeStringUtf8("data: $data\n\n")
            channel.flush()
        }
    }

    /** Collects the chunks and sends the response as one document. */
    class Buffered(private val call: ApplicationCall, private val request: RequestKey, private val model: String) :
        CallerResponse {
        private val text = StringBuilder()
        private var usage: EngineUsage? = null

        override suspend fun write(chunk: EngineEvent.Chunk) {
            text.append(chunk.text)
            chunk.usage?.let { usage = it }
        }

        override suspend fun finish() = call.respondText(document(), ContentType.Application.Json)

        override suspend fun fail(code: ResultCode) = ErrorResponse.respond(call, code, request)

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
                    put("total_tokens", it.totalTokens)
                }
            }
        }.toString()
    }

    companion object {
        /** Opens a response to [call], streamed if [chat] requests it, and passes it to [use]. */
        suspend fun open(
            call: ApplicationCall,
            request: RequestKey,
            chat: ChatRequest,
            use: suspend (CallerResponse) -> Unit,
        ) {
            call.response.headers.append(ErrorResponse.REQUEST_HEADER, request.value)
            if (chat.isStreamed) {
                call.respondBytesWriter(ContentType.Text.EventStream) { use(Streamed(this, request)) }
            } else {
                use(Buffered(call, request, chat.model))
            }
        }
    }
}
