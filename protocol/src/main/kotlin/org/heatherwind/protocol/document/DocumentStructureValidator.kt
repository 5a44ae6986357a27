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

/** Compares a document with the structure that its type expects, and lists unknown and missing names. */
@OptIn(ExperimentalSerializationApi::class)
internal class DocumentShape(private val text: String, private val expected: SerialDescriptor) {
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
    }

    fun problems(): List<DocumentProblem> {
        val root = try {
            json.parseToJsonElement(text)
        } catch (failure: SerializationException) {
            return listOf(
                DocumentProblem("document", lineOfFailure(failure), failure.message.orEmpty().lineSequence().first()),
            )
        }
        return duplicateProblems() + compare("", root, expected)
    }

    private fun lineOfFailure(failure: SerializationException): Int {
        val offset = OFFSET.find(failure.message.orEmpty())?.groupValues?.get(1)?.toIntOrNull() ?: return 0
        return 1 + text.take(offset).count { it == '\n' }
    }

    private fun duplicateProblems(): List<DocumentProblem> =
        DocumentLines.duplicateNames(text).map { DocumentProblem(it.path, it.line, "each name once") }

    private fun compare(path: String, element: JsonElement, descriptor: SerialDescriptor): List<DocumentProblem> =
        when {
            descriptor.isInline -> compare(path, element, descriptor.getElementDescriptor(0))

            element is JsonObject && descriptor.kind == StructureKind.CLASS -> compareObject(path, element, descriptor)

            element is JsonObject && descriptor.kind == PolymorphicKind.SEALED -> compareVariant(
                path,
                element,
                descriptor,
            )

            element is JsonArray && descriptor.kind == StructureKind.LIST ->
                element.flatMapIndexed { index, item ->
                    compare("$path[$index]", item, descriptor.getElementDescriptor(0))
                }

            descriptor.kind == StructureKind.CLASS -> listOf(problem(path, "an object"))

            descriptor.kind == StructureKind.LIST -> listOf(problem(path, "a list"))

            else -> emptyList()
        }

    private fun compareVariant(path: String, element: JsonObject, descriptor: SerialDescriptor): List<DocumentProblem> {
        val variants = descriptor.getElementDescriptor(1)
        val names = (0 until variants.elementsCount).map { variants.getElementName(it) }
        val kind = element[DISCRIMINATOR]?.jsonPrimitive?.contentOrNull
        if (kind !in names) return listOf(problem(join(path, DISCRIMINATOR), "one of ${names.joinToString()}"))
        return compareObject(
            path,
            JsonObject(element - DISCRIMINATOR),
            variants.getElementDescriptor(names.indexOf(kind)),
        )
    }

    private fun compareObject(path: String, element: JsonObject, descriptor: SerialDescriptor): List<DocumentProblem> {
        val names = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
        val unknown = element.keys.filter { it !in names }
            .map { problem(join(path, it), "only ${names.joinToString()}") }
        val missing = names.filterIndexed { index, name -> name !in element && !descriptor.isElementOptional(index) }
            .map { problem(join(path, it), "a value") }
        val nested = names.flatMapIndexed { index, name ->
            element[name]?.let { compare(join(path, name), it, descriptor.getElementDescriptor(index)) }.orEmpty()
        }
        return unknown + missing + nested
    }

    private fun problem(path: String, allowed: String) =
        DocumentProblem(path.ifEmpty { "document" }, DocumentLines.lineOf(text, path), "allowed is $allowed")

    private fun join(path: String, name: String) = if (path.isEmpty()) name else "$path.$name"

    private companion object {
        const val DISCRIMINATOR = "kind"
        val OFFSET = Regex("offset (\\d+)")
    }
}
