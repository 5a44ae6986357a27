package org.heatherwind.core.overload

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given what a load balancer was told, when it is judged, then the router is removed after answers in a row only. */
class RotationStateTest {
    private class Case(val name: String, val isRemoved: Boolean, val missing: Int, val answers: List<Boolean>)

    private val cases = listOf(
        Case("never asked", isRemoved = false, missing = 2, answers = emptyList()),
        Case("not ready once", isRemoved = false, missing = 1, answers = listOf(true, false)),
        Case("not ready twice", isRemoved = true, missing = 0, answers = listOf(false, false)),
        Case("not ready often", isRemoved = true, missing = 0, answers = List(5) { false }),
        Case("ready in between", isRemoved = false, missing = 1, answers = listOf(false, true, false)),
        Case("ready again", isRemoved = false, missing = 2, answers = listOf(false, false, true)),
    )

    @TestFactory
    fun `given answers when judged then those in a row count`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val rotation = RotationState(answersUntilRemoved = 2)
            case.answers.forEach { rotation.recordAnswer(it) }
            assertEquals(case.isRemoved to case.missing, rotation.isRemoved to rotation.missingAnswers)
        }
    }

    private class OverloadCase(val at: Long, val isOverloaded: Boolean)

    private val overloadCases = listOf(
        OverloadCase(at = 0, isOverloaded = false),
        OverloadCase(at = 1_000, isOverloaded = true),
        OverloadCase(at = 10_999, isOverloaded = true),
        OverloadCase(at = 11_000, isOverloaded = false),
    )

    @TestFactory
    fun `given an overload when time passes then the router is not ready for ten seconds`(): List<DynamicTest> =
        overloadCases.map { case ->
            DynamicTest.dynamicTest("at ${case.at} ms") {
                val rotation = RotationState(answersUntilRemoved = 2)
                if (case.at >= OVERLOADED_AT) rotation.recordOverload(MonotonicTime(OVERLOADED_AT))
                assertEquals(case.isOverloaded, rotation.isOverloaded(MonotonicTime(case.at)))
            }
        }

    private companion object {
        const val OVERLOADED_AT = 1_000L
    }
}
