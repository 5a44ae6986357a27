package org.heatherwind.router.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.heatherwind.core.result.ResultCode

/**
 * A chat completion as a caller sent it.
 *
 * @property maximumResponseTokens the most completion tokens that the caller requested, or null
 * @property documentBytes size of the whole request document, an upper bound of the prompt's tokens
 */
internal class ChatRequest private constructor(
    private val document: JsonObject,
    val model: String,
    val isStreamed: Boolean,
    val maximumResponseTokens: Long?,
    val documentBytes: Long,
) {
    /**
     * The most tokens that the engine can count for the prompt: a token covers at least one byte, and the engine's
     * prompt template adds at most [PROMPT_OVERHEAD_TOKENS].
     */
    val maximumPromptTokens: Long get() = documentBytes + PROMPT_OVERHEAD_TOKENS

    /**
     * Returns the request document for an engine: streamed, with usage in every chunk, and with the response limited to
     * [maximumTokens].
     */
    fun documentForEngine(maximumTokens: Long): String = buildJsonObject {
        document.filterKeys { it != "max_completion_tokens" }.forEach { (name, value) -> put(name, value) }
        put("stream", true)
        put("max_tokens", maximumTokens)
        putJsonObject("stream_options") {
            put("include_usage", true)
            put("continuous_usage_stats", true)
        }
    }.toString()

    companion object {
        private const val PROMPT_OVERHEAD_TOKENS = 64L
        private const val MAXIMUM_TOKENS = 100_000_000L

        /** Parses the request in [body]; returns the result code to respond with if it is invalid. */
        fun parse(body: String): Either<ResultCode, ChatRequest> {
            val document = parseObject(body) ?: return ResultCode.MALFORMED_REQUEST.left()
            val model = (document["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
            val messages = document["messages"] as? JsonArray
            if (model == null || messages == null || messages.isEmpty()) return ResultCode.MALFORMED_REQUEST.left()
            if (messages.any { it !is JsonObject }) return ResultCode.MALFORMED_REQUEST.left()
            val requested = document["max_completion_tokens"] ?: document["max_tokens"]
            val tokens = (requested as? JsonPrimitive)?.longOrNull
            if (requested != null && (tokens == null || tokens !in 1..MAXIMUM_TOKENS)) {
                return ResultCode.TOKEN_COUNT_OUT_OF_RANGE.left()
            }
            return ChatRequest(
                document = document,
                model = model,
                isStreamed = (document["stream"] as? JsonPrimitive)?.contentOrNull == "true",
                maximumResponseTokens = tokens,
                documentBytes = documentBytes(document),
            ).right()
        }

        private fun documentBytes(document: JsonObject): Long = document.toString().encodeToByteArray().size.toLong()

        private fun parseObject(body: String): JsonObject? = try {
            val element: JsonElement = Json.parseToJsonElement(body)
            element as? JsonObject
        } catch (_: SerializationException) {
            null
        }
    }
}
