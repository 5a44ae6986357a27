package org.heatherwind.gateway.document

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.heatherwind.core.document.JsonNesting

/**
 * Reads JSON that other processes wrote. The parser recurses, and the stacks of a router are smaller than its own limit
 * of nesting allows for, so deeply nested texts are rejected before they are parsed.
 */
public object BoundedJson {
    private val json = Json { ignoreUnknownKeys = true }

    /** Parses [text]; throws [SerializationException] if it is malformed or nested too deeply. */
    public fun parse(text: String): JsonElement {
        requireFlat(text)
        return json.parseToJsonElement(text)
    }

    /**
     * Decodes [text]; fields that later versions add are ignored. Throws [SerializationException] if it is malformed,
     * nested too deeply or of another type.
     */
    public fun <T> decode(deserializer: DeserializationStrategy<T>, text: String): T {
        requireFlat(text)
        return json.decodeFromString(deserializer, text)
    }

    private fun requireFlat(text: String) {
        if (JsonNesting.isDeeper(text)) {
            throw SerializationException("nested more than ${JsonNesting.MAXIMUM_LEVELS} levels deep")
        }
    }
}
