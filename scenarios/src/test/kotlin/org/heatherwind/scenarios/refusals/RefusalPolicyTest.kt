package org.heatherwind.scenarios.refusals

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given demand for 90% of a budget, when several sides spend from it, then false refusals stay rare. */
class RefusalPolicyTest {
    private class Case(val name: String, val partition: Partition?, val maximumFalseShare: Double)

    private val cases = listOf(
        Case("no failure", partition = null, maximumFalseShare = 0.001),
        Case(
            "two of six sides disconnected for ten minutes",
            Partition(fromMilliseconds = 1_800_000, untilMilliseconds = 2_400_000, connectedSides = setOf(0, 1, 2, 3)),
            maximumFalseShare = 0.01,
        ),
    )

    @TestFactory
    fun `false refusals stay under the target, and ten times under static shares`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val results = (1L..SEEDS).toList().parallelStream().map { run(it, case.partition) }.toList()
                results.forEachIndexed { index, compared -> println("${case.name}, seed ${index + 1}: $compared") }
                val escrow = results.map { it.escrow.falseShare }.average()
                val static = results.map { it.static.falseShare }.average()
                println("${case.name}: escrow $escrow, static shares $static")
                assertEquals(0, results.sumOf { it.escrow.overspent })
                assertTrue(escrow < case.maximumFalseShare, "share of false refusals with escrow: $escrow")
                assertTrue(escrow * 10 <= static, "share of false refusals with static shares: $static")
            }
        }

    private data class Compared(val escrow: RefusalResult, val static: RefusalResult, val singleHolder: RefusalResult)

    private fun run(seed: Long, partition: Partition?): Compared {
        val trace = DemandTrace.generate(seed, SECONDS, REQUESTS_PER_SECOND, SIDES)
        val prepaid = (trace.totalTokens / DEMANDED_SHARE).toLong()
        return Compared(
            escrow = RefusalPolicy.Escrow.run(trace, prepaid, SIDES, partition),
            static = RefusalPolicy.StaticShares.run(trace, prepaid, SIDES, partition),
            singleHolder = RefusalPolicy.SingleHolder.run(trace, prepaid, SIDES, partition),
        )
    }

    private companion object {
        const val SEEDS = 6L
        const val SECONDS = 2_700
        const val REQUESTS_PER_SECOND = 4.0
        const val SIDES = 6
        const val DEMANDED_SHARE = 0.9
    }
}
