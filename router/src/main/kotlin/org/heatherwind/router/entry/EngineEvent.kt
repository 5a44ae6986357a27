package org.heatherwind.router.entry

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/** One event of an engine's answer. */
internal sealed interface EngineEvent {
    /** A piece of the answer, as the engine wrote it. [tokens] is the engine's own count so far, or null. */
    data class Piece(val data: String, val text: String, val tokens: EngineUsage?) : EngineEvent

    /** The end of a whole answer. */
    data object Done : EngineEvent

    /** Something that is no event of an answer. */
    data class Unreadable(val data: String) : EngineEvent

    companion object {
        private const val DATA = "data:"
        private const val END = "[DONE]"

        /** The event in one [line] of the stream, or null when the line carries none. */
        fun ofLine(line: String): EngineEvent? {
            if (!line.startsWith(DATA)) return null
            val data = line.removePrefix(DATA).trim()
            return if (data == END) Done else pieceOf(data) ?: Unreadable(data)
        }

        private fun pieceOf(data: String): Piece? {
            val document = try {
                Json.parseToJsonElement(data) as? JsonObject
            } catch (_: SerializationException) {
                null
            } ?: return null
            if (document.containsKey("error")) return null
            return Piece(data, textOf(document), usageOf(document))
        }

        private fun textOf(document: JsonObject): String {
            val choice = (document["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
            val delta = choice?.get("delta") as? JsonObject
            return (delta?.get("content") as? JsonPrimitive)?.contentOrNull.orEmpty()
        }

        private fun usageOf(document: JsonObject): EngineUsage? {
            val usage = document["usage"] as? JsonObject ?: return null
            val prompt = (usage["prompt_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
            val completion = (usage["completion_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
            return EngineUsage(prompt, completion)
        }
    }
}

/** Tokens that an engine counted so far. */
internal data class EngineUsage(val promptTokens: Long, val completionTokens: Long) {
    /** Tokens to bill. */
    val total: Long get() = promptTokens + completionTokens
}
