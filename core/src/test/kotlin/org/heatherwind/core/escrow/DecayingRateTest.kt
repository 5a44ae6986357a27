package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/** Given requests that begin at some time, when few or many have come, then the rate is not claimed from few. */
class DecayingRateTest {
    private class Case(
        val name: String,
        val holders: Int,
        val requestsPerSecond: Int,
        val afterMilliseconds: Long,
        val expected: ClosedFloatingPointRange<Double>,
    )

    private val cases = listOf(
        // Guards against a busy router of a large fleet that asks for a tenth of the tokens that it needs.
        Case("many requests at one of 79 routers", 79, requestsPerSecond = 50, 1_800, expected = 0.75..1.05),
        Case("many requests at one of 9 routers", 9, requestsPerSecond = 50, 1_800, expected = 0.75..1.05),
        Case("many requests at one of 360 routers", 360, requestsPerSecond = 50, 6_000, expected = 0.75..1.05),
        Case("three requests within a second at one of 79 routers", 79, requestsPerSecond = 3, 1_000, 0.0..0.1),
        Case("few requests at one of 79 routers for long", 79, requestsPerSecond = 1, 40_000, expected = 0.75..1.05),
    )

    @TestFactory
    fun `the demand is known once enough requests have come`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val holding = BudgetHolding(MonotonicTime(0)).also { it.updateHolderCount(case.holders) }
            val requests = (case.afterMilliseconds * case.requestsPerSecond / 1_000).toInt()
            repeat(requests) { number ->
                holding.recordDemand(TOKENS, MonotonicTime(START + number * 1_000L / case.requestsPerSecond))
            }
            val demand = holding.demandPerSecond(MonotonicTime(START + case.afterMilliseconds))
            val share = demand / (TOKENS * case.requestsPerSecond)
            assertTrue(share in case.expected, "$share of the demand is known")
        }
    }

    private companion object {
        const val TOKENS = 2_000L
        const val START = 10_000L
    }
}
