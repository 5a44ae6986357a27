package org.heatherwind.scenarios.history

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given seeded histories with one kind of fault or all, when all requests are settled, then every invariant holds. */
class SeededHistoryTest {
    private class Case(val name: String, val faults: List<HistoryFault>, val seeds: LongRange)

    private val cases =
        HistoryFault.entries.map { Case(it.name, listOf(it), 1L..100L) } +
            Case("all kinds together", HistoryFault.entries, 1L..2_000L)

    @TestFactory
    fun `no seeded history violates an invariant`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest("${case.name}, seeds ${case.seeds}") {
            val reports = case.seeds.toList().parallelStream().map { SeededHistory(it, case.faults).run() }.toList()
            val violating = reports.filter { it.violations.isNotEmpty() }
            println("${case.name}: ${reports.sumOf { it.completed }} completed, ${violating.size} with violations")
            assertTrue(
                reports.sumOf {
                    it.completed
                } > case.seeds.count(),
                "too few requests completed for a meaningful check",
            )
            assertEquals(emptyList(), violating.take(5).map { "seed ${it.seed}: ${it.violations.take(3)}" })
        }
    }
}
