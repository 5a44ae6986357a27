package org.heatherwind.protocol.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** An error in a document, at a property [path] such as `services[0].name`. [line] counts from 1; 0 if unknown. */
public data class DocumentProblem(val path: String, val line: Int, val detail: String) {
    override fun toString(): String = if (line > 0) "line $line, $path: $detail" else "$path: $detail"
}

/** Decodes JSON with comments and trailing commas into typed documents, and reports all errors together. */
@OptIn(ExperimentalSerializationApi::class)
public object DocumentReader {
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
        classDiscriminator = "kind"
    }

    /** Encodes [value] as JSON that [read] accepts. */
    public fun <T> write(serializer: KSerializer<T>, value: T): String = json.encodeToString(serializer, value)

    /**
     * Decodes [text]. Returns the document, or all its structural errors; if there are none, all violations that
     * [rules] reports.
     */
    public fun <T> read(
        serializer: KSerializer<T>,
        text: String,
        rules: (T) -> List<DocumentProblem> = { emptyList() },
    ): Either<List<DocumentProblem>, T> {
        val structureProblems = DocumentStructureValidator(text, serializer.descriptor).problems()
        if (structureProblems.isNotEmpty()) return structureProblems.left()
        return decode(serializer, text).fold({ listOf(it).left() }, { document ->
            val violations = rules(document).map { it.copy(line = DocumentLines.lineOf(text, it.path)) }
            if (violations.isEmpty()) document.right() else violations.left()
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
