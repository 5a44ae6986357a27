package org.heatherwind.protocol.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** One fault of a document. [line] counts from 1 and is 0 when the place is not known. */
public data class DocumentProblem(val path: String, val line: Int, val detail: String) {
    override fun toString(): String = if (line > 0) "line $line, $path: $detail" else "$path: $detail"
}

/** Reads JSON with comments and trailing commas into typed documents, and names every fault at once. */
@OptIn(ExperimentalSerializationApi::class)
public object DocumentReader {
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
        classDiscriminator = "kind"
    }

    /** Writes [value] in the form that [read] accepts. */
    public fun <T> write(serializer: KSerializer<T>, value: T): String = json.encodeToString(serializer, value)

    /** The document in [text], or all its faults: first those of its form, then those that [rules] names. */
    public fun <T> read(
        serializer: KSerializer<T>,
        text: String,
        rules: (T) -> List<DocumentProblem> = { emptyList() },
    ): Either<List<DocumentProblem>, T> {
        val shape = DocumentShape(text, serializer.descriptor).problems()
        if (shape.isNotEmpty()) return shape.left()
        return decode(serializer, text).fold({ listOf(it).left() }, { document ->
            val broken = rules(document).map { it.copy(line = DocumentLines.lineOf(text, it.path)) }
            if (broken.isEmpty()) document.right() else broken.left()
        })
    }

    private fun <T> decode(serializer: KSerializer<T>, text: String): Either<DocumentProblem, T> = try {
        json.decodeFromString(serializer, text).right()
    } catch (failure: SerializationException) {
        DocumentProblem("document", 0, failure.message.orEmpty().lineSequence().first()).left()
    } catch (failure: IllegalArgumentException) {
        DocumentProblem("document", 0, failure.message.orEmpty().lineSequence().first()).left()
    }
}
