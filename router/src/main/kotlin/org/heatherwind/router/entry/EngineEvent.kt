package org.heatherwind.router.entry

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/** One event of an engine's response. */
internal sealed interface EngineEvent {
    /**
     * A chunk of the response.
     *
     * @property data the event's JSON as the engine sent it
     * @property text the completion text in it, possibly empty
     * @property usage the engine's own token count so far, or null if the chunk carries none
     */
    data class Chunk(val data: String, val text: String, val usage: EngineUsage?) : EngineEvent

    /** The end of a complete response. */
    data object Done : EngineEvent

    /** An event that is neither a chunk nor the end, for example an error document. */
    data class Malformed(val data: String) : EngineEvent

    companion object {
        private const val DATA_FIELD = "data:"
        private const val DONE_MARKER = "[DONE]"

        /** Parses one [line] of the event stream; returns null when the line carries no data. */
        fun parseLine(line: String): EngineEvent? {
            if (!line.startsWith(DATA_FIELD)) return null
            val data = line.removePrefix(DATA_FIELD).trim()
            return if (data == DONE_MARKER) Done else parseChunk(data) ?: Malformed(data)
        }

        private fun parseChunk(data: String): Chunk? {
            val document = try {
                Json.parseToJsonElement(data) as? JsonObject
            } catch (_: SerializationException) {
                null
            } ?: return null
            if (document.containsKey("error")) return null
            return Chunk(data, parseText(document), parseUsage(document))
        }

        private fun parseText(document: JsonObject): String {
            val choice = (document["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
            val delta = choice?.get("delta") as? JsonObject
            return (delta?.get("content") as? JsonPrimitive)?.contentOrNull.orEmpty()
        }

        private fun parseUsage(document: JsonObject): EngineUsage? {
            val usage = document["usage"] as? JsonObject ?: return null
            val prompt = (usage["prompt_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
            val completion = (usage["completion_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
            return EngineUsage(prompt, completion)
        }
    }
}

/** The tokens that an engine has counted so far. */
internal data class EngineUsage(val promptTokens: Long, val completionTokens: Long) {
    /** The tokens to charge. */
    val totalTokens: Long get() = promptTokens + completionTokens
}
