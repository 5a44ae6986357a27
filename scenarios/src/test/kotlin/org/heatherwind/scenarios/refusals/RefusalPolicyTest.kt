package org.heatherwind.scenarios.refusals

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given demand for 90% of a budget, when several routers spend from it, then few requests are falsely refused. */
class RefusalPolicyTest {
    private class Case(val name: String, val partition: Partition?, val maximumFalseRefusalFraction: Double)

    private val cases = listOf(
        Case("no failure", partition = null, maximumFalseRefusalFraction = 0.001),
        Case(
            "two of six routers disconnected for ten minutes",
            Partition(
                fromMilliseconds = 1_800_000,
                untilMilliseconds = 2_400_000,
                connectedRouters = setOf(0, 1, 2, 3),
            ),
            maximumFalseRefusalFraction = 0.01,
        ),
    )

    @TestFactory
    fun `false refusals stay below the limit and below a tenth of those with static shares`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val results = (1L..SEEDS).toList().parallelStream().map { run(it, case.partition) }.toList()
                results.forEachIndexed { index, compared -> println("${case.name}, seed ${index + 1}: $compared") }
                val escrow = results.map { it.escrow.falseRefusalFraction }.average()
                val static = results.map { it.static.falseRefusalFraction }.average()
                println("${case.name}: escrow $escrow, static shares $static")
                assertEquals(0, results.sumOf { it.escrow.overspent })
                assertTrue(escrow < case.maximumFalseRefusalFraction, "fraction of false refusals with escrow: $escrow")
                assertTrue(escrow * 10 <= static, "fraction of false refusals with static shares: $static")
            }
        }

    private data class PolicyResults(
        val escrow: RefusalResult,
        val static: RefusalResult,
        val singleHolder: RefusalResult,
    )

    private fun run(seed: Long, partition: Partition?): PolicyResults {
        val trace = DemandTrace.generate(seed, SECONDS, REQUESTS_PER_SECOND, ROUTERS)
        val prepaid = (trace.totalTokens / DEMANDED_FRACTION).toLong()
        return PolicyResults(
            escrow = RefusalPolicy.Escrow.run(trace, prepaid, ROUTERS, partition),
            static = RefusalPolicy.StaticShares.run(trace, prepaid, ROUTERS, partition),
            singleHolder = RefusalPolicy.SingleHolder.run(trace, prepaid, ROUTERS, partition),
        )
    }

    private companion object {
        const val SEEDS = 6L
        const val SECONDS = 2_700
        const val REQUESTS_PER_SECOND = 4.0
        const val ROUTERS = 6
        const val DEMANDED_FRACTION = 0.9
    }
}
