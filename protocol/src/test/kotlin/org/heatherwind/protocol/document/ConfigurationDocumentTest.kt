package org.heatherwind.protocol.document

import arrow.core.Either
import org.heatherwind.core.configuration.FleetConfiguration
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Given configuration documents, when they are read, then all errors are reported with their lines. */
class ConfigurationDocumentTest {
    private class Case(val name: String, val text: String, val locations: List<Pair<Int, String>>)

    private val cases = listOf(
        Case("malformed JSON", "{\n  \"defaults\": {,}\n}", listOf(2 to "document")),
        Case(
            "unknown names",
            "{\n\"defualts\": {},\n\"defaults\": {\"deadline\": 3}\n}",
            listOf(
                2 to "defualts",
                3 to "defaults.deadline",
            ),
        ),
        Case("a duplicate name", "{\n\"services\": [],\n\"services\": []\n}", listOf(3 to "services")),
        Case(
            "values out of range",
            "{\"defaults\": {\n\"requestDeadlineSeconds\": 0,\n\"maximumAnswerTokens\": -4}}",
            listOf(2 to "defaults.requestDeadlineSeconds", 3 to "defaults.maximumAnswerTokens"),
        ),
        Case("an unknown kind", "{\"services\": [\n{\"kind\": \"oven\"}]}", listOf(2 to "services[0].kind")),
        Case(
            "missing names",
            "{\"services\": [\n{\"kind\": \"engine\", \"name\": \"a\"}]}",
            listOf(2 to "services[0].models", 2 to "services[0].targets"),
        ),
        Case("a list instead of an object", "{\"defaults\": []}", listOf(1 to "defaults")),
    )

    @TestFactory
    fun `given an invalid document, when read, then all errors are located`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val result = assertIs<Either.Left<List<DocumentProblem>>>(ConfigurationDocument.read(case.text))
            assertEquals(case.locations, result.value.map { it.line to it.path })
        }
    }

    @Test
    fun `given comments and trailing commas, when read, then they are accepted`() {
        val text = "// fleet\n{ /* none */ \"services\": [], \"defaults\": {\"requestDeadlineSeconds\": 5,}, }"
        assertEquals(
            5,
            assertIs<Either.Right<FleetConfiguration>>(
                ConfigurationDocument.read(text),
            ).value.defaults.requestDeadlineSeconds,
        )
    }

    @Test
    fun `given randomly changed documents, when read, then nothing is thrown`() {
        val service = "{\"kind\": \"engine\", \"name\": \"a\"}"
        val text = "{\"defaults\": {\"requestDeadlineSeconds\": 5}, // x\n\"services\": [$service]}"
        repeat(20_000) { seed ->
            val random = Random(seed)
            val changed = StringBuilder(text)
            repeat(1 + random.nextInt(4)) {
                changed[random.nextInt(changed.length)] =
                    "{}[],:\"\\/ *a0-"[random.nextInt(14)]
            }
            ConfigurationDocument.read(changed.toString())
        }
    }
}
