package org.heatherwind.protocol.document

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive

/**
 * Validates the structure of the JSON document [text] against the [expected] type.
 *
 * Reports malformed JSON, duplicate, unknown and missing names, and objects or lists where another type is expected.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class DocumentStructureValidator(private val text: String, private val expected: SerialDescriptor) {
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
    }

    fun problems(): List<DocumentProblem> {
        val root = try {
            json.parseToJsonElement(text)
        } catch (failure: SerializationException) {
            return listOf(
                DocumentProblem("document", lineOf(failure), failure.message.orEmpty().lineSequence().first()),
            )
        }
        return duplicateProblems() + validate("", root, expected)
    }

    private fun lineOf(failure: SerializationException): Int {
        val offset = OFFSET_IN_MESSAGE.find(failure.message.orEmpty())?.groupValues?.get(1)?.toIntOrNull() ?: return 0
        return 1 + text.take(offset).count { it == '\n' }
    }

    private fun duplicateProblems(): List<DocumentProblem> =
        DocumentLines.duplicateNames(text).map { DocumentProblem(it.path, it.line, "name occurs more than once") }

    private fun validate(path: String, element: JsonElement, descriptor: SerialDescriptor): List<DocumentProblem> =
        when {
            descriptor.isInline -> validate(path, element, descriptor.getElementDescriptor(0))

            element is JsonObject && descriptor.kind == StructureKind.CLASS -> validateObject(path, element, descriptor)

            element is JsonObject && descriptor.kind == PolymorphicKind.SEALED -> validateVariant(
                path,
                element,
                descriptor,
            )

            element is JsonArray && descriptor.kind == StructureKind.LIST ->
                element.flatMapIndexed { index, item ->
                    validate("$path[$index]", item, descriptor.getElementDescriptor(0))
                }

            descriptor.kind == StructureKind.CLASS -> listOf(problem(path, "an object"))

            descriptor.kind == StructureKind.LIST -> listOf(problem(path, "a list"))

            else -> emptyList()
        }

    private fun validateVariant(
        path: String,
        element: JsonObject,
        descriptor: SerialDescriptor,
    ): List<DocumentProblem> {
        val variants = descriptor.getElementDescriptor(1)
        val names = (0 until variants.elementsCount).map { variants.getElementName(it) }
        val kind = element[DISCRIMINATOR]?.jsonPrimitive?.contentOrNull
        if (kind !in names) return listOf(problem(join(path, DISCRIMINATOR), "one of ${names.joinToString()}"))
        return validateObject(
            path,
            JsonObject(element - DISCRIMINATOR),
            variants.getElementDescriptor(names.indexOf(kind)),
        )
    }

    private fun validateObject(path: String, element: JsonObject, descriptor: SerialDescriptor): List<DocumentProblem> {
        val names = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
        val unknown = element.keys.filter { it !in names }
            .map { problem(join(path, it), "only ${names.joinToString()}") }
        val missing = names.filterIndexed { index, name -> name !in element && !descriptor.isElementOptional(index) }
            .map { problem(join(path, it), "a value") }
        val nested = names.flatMapIndexed { index, name ->
            element[name]?.let { validate(join(path, name), it, descriptor.getElementDescriptor(index)) }.orEmpty()
        }
        return unknown + missing + nested
    }

    private fun problem(path: String, expectation: String) =
        DocumentProblem(path.ifEmpty { "document" }, DocumentLines.lineOf(text, path), "expected $expectation")

    private fun join(path: String, name: String) = if (path.isEmpty()) name else "$path.$name"

    private companion object {
        const val DISCRIMINATOR = "kind"
        val OFFSET_IN_MESSAGE = Regex("offset (\\d+)")
    }
}
