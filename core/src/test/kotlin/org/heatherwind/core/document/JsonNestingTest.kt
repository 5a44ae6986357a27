package org.heatherwind.core.document

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given a JSON text, when its nesting is limited, then brackets count wherever a parser would enter a level. */
class JsonNestingTest {
    private class Case(val name: String, val text: String, val levels: Int)

    private val cases = listOf(
        Case("no text", "", levels = 0),
        Case("a number", "1", levels = 0),
        Case("lists", "[[[]]]", levels = 3),
        Case("lists beside each other", "[[],[],[[]]]", levels = 3),
        Case("objects", """{"a":{"b":1}}""", levels = 2),
        Case("lists without end", "[[[[", levels = 4),
        Case("brackets in a string", """["[[[{{{"]""", levels = 1),
        Case("brackets in a name", """{"[[[":1}""", levels = 1),
        Case("brackets after an escaped quote", """["\"[[["]""", levels = 1),
        Case("brackets after an escaped backslash", """["\\",[[]]]""", levels = 3),
        Case("a string without end", """["[[[""", levels = 1),
        Case("a string that ends within an escape", "[\"\\", levels = 1),
        Case("lists in the place of a name", "{[[", levels = 3),
        Case("lists in lists, a hundred thousand deep", "[".repeat(100_000), levels = 100_000),
    )

    @TestFactory
    fun `given a text when its levels are limited then only a lower limit is exceeded`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                assertEquals(false, JsonNesting.isDeeper(case.text, case.levels))
                assertEquals(case.levels > 0, JsonNesting.isDeeper(case.text, case.levels - 1))
            }
        }
}
