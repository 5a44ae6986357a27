package org.heatherwind.core.overload

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given delays of a window, when it ends, then only a queue that stands throughout it counts. */
class QueueingDelaysTest {
    private class Case(
        val name: String,
        val isOverloaded: Boolean,
        val turns: List<Long> = emptyList(),
        val connects: List<Long> = emptyList(),
    )

    private val cases = listOf(
        Case("nothing measured", isOverloaded = false),
        Case("tasks in time", isOverloaded = false, turns = listOf(0, 1, 0, 2, 1)),
        Case("one late task, as after a freeze", isOverloaded = false, turns = listOf(4_000)),
        Case("late tasks, and one in time", isOverloaded = false, turns = listOf(90, 80, 3, 70, 90)),
        Case("late tasks throughout", isOverloaded = true, turns = listOf(90, 80, 40, 70, 90)),
        Case("few slow connections", isOverloaded = false, connects = listOf(200, 300)),
        Case("slow connections, and a fast one", isOverloaded = false, connects = listOf(200, 12, 300)),
        Case("slow connections throughout", isOverloaded = true, connects = listOf(200, 90, 300)),
        Case("targets that are far away", isOverloaded = false, connects = listOf(42, 45, 41)),
    )

    // Guards against refusals after a burst or a freeze that is over.
    @TestFactory
    fun `given delays when a window ends then a standing queue counts`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val delays = QueueingDelays()
            repeat(KNOWN_CONNECTS) { delays.recordConnect(SHORTEST_CONNECT) }
            delays.endWindow()
            case.turns.forEach { delays.recordTurn(it) }
            case.connects.forEach { delays.recordConnect(it) }
            assertEquals(case.isOverloaded, delays.endWindow().isOverloaded)
        }
    }

    private companion object {
        const val KNOWN_CONNECTS = 3
        const val SHORTEST_CONNECT = 12L
    }
}
