package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Given a router that holds a part of a budget, when the store does not respond, tokens are transferred or the fleet
 * grows, then the router reserves within the spend ceiling and estimates its demand for the size of the fleet.
 */
class BudgetHoldingTest {
    private class Case(val name: String, val milliseconds: Long, val isWitnessed: Boolean, val reservable: Long)

    private val cases = listOf(
        Case("the store responds", milliseconds = 100, isWitnessed = false, reservable = 1_000),
        Case("a short outage", milliseconds = 1_700 - 1, isWitnessed = false, reservable = 1_000 + 499),
        Case("a long outage", milliseconds = 2_700, isWitnessed = false, reservable = 1_000 + 500 + 500 + 1_250),
        Case("a long outage with a witness", milliseconds = 2_700, isWitnessed = true, reservable = 7_550),
    )

    @TestFactory
    fun `the ceiling grows with the time since the store's confirmation`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val holding = BudgetHolding(MonotonicTime(0))
            holding.setGranted(100_000)
            holding.confirm(
                SpendCeiling(tokens = 1_000, growthPerSecond = 1_000, releaseTokens = 500),
                MonotonicTime(0),
            )
            if (case.isWitnessed) holding.confirmWitnessed(50_000)
            assertEquals(case.reservable, holding.reservableTokens(MonotonicTime(case.milliseconds)))
        }
    }

    @Test
    fun `the smaller of two ceilings applies until the proposed one is confirmed`() {
        val holding = BudgetHolding(MonotonicTime(0))
        holding.setGranted(100_000)
        holding.confirm(SpendCeiling(9_000, 0, 0), MonotonicTime(0))
        holding.propose(SpendCeiling(4_000, 0, 0), MonotonicTime(10))
        assertFalse(holding.tryReserve(5_000, MonotonicTime(20)))
        holding.confirm(SpendCeiling(9_000, 0, 0), MonotonicTime(10))
        assertTrue(holding.tryReserve(5_000, MonotonicTime(20)))
    }

    @Test
    fun `a quota transfer moves tokens from one router to another`() {
        val source = BudgetHolding(MonotonicTime(0)).also { it.setGranted(10_000) }
        source.confirm(SpendCeiling(10_000, 0, 0), MonotonicTime(0))
        val receiver = BudgetHolding(MonotonicTime(0))
        receiver.transferIn(source.transferOut(requestedTokens = 3_000, now = MonotonicTime(1)))
        assertEquals(3_000, receiver.reservableTokens(MonotonicTime(1)))
        assertEquals(0, source.usedTokens + receiver.usedTokens)
    }

    /** Pattern: an entry router's largest customer, whose tokens run out, when all routers are cut off for 8 s. */
    @Test
    fun `a nearly exhausted budget serves its demand from the grant while the store is unreachable`() {
        val holding = BudgetHolding(MonotonicTime(0))
        holding.setGranted(300_000)
        (0L until 20_000 step 100).forEach { holding.recordDemand(10_000, MonotonicTime(it)) }
        val confirmedAt = MonotonicTime(20_000)
        val remaining = RemainingBudget(tokens = 300_000, demandElsewherePerSecond = 10_000.0, routers = 24)
        holding.confirm(holding.nextCeiling(confirmedAt, neededTokens = 0, remaining), confirmedAt)
        val reservable = holding.reservableTokens(confirmedAt.plusMilliseconds(2_500))
        assertTrue(reservable >= 150_000, "$reservable tokens reservable, 150,000 requested since the first second")
    }

    @Test
    fun `demand that begins long after the start is not underestimated`() {
        val holding = BudgetHolding(MonotonicTime(0))
        holding.updateHolderCount(holders = 24)
        (0L until 19_000 step 250).forEach { holding.demandPerSecond(MonotonicTime(it)) }
        (19_000L until 25_000 step 100).forEach { holding.recordDemand(6_000, MonotonicTime(it)) }
        val demand = holding.demandPerSecond(MonotonicTime(25_000))
        assertTrue(demand >= 45_000, "estimated $demand, requested 60,000 tokens per second")
    }

    @Test
    fun `one request raises the demand estimate less in a large fleet`() {
        val demandsOver15Seconds = listOf(9, 60).map { holders ->
            val holding = BudgetHolding(MonotonicTime(0))
            (0L..30_000 step 250).forEach { now ->
                holding.updateHolderCount(holders)
                holding.demandPerSecond(MonotonicTime(now))
            }
            holding.recordDemand(12_000, MonotonicTime(30_000))
            holding.demandPerSecond(MonotonicTime(30_000)) * 15
        }
        assertTrue(demandsOver15Seconds[0] > 30_000, "estimate too low for 9 holders: ${demandsOver15Seconds[0]}")
        assertTrue(demandsOver15Seconds[1] < 15_000, "estimate too high for 60 holders: ${demandsOver15Seconds[1]}")
    }

    private fun BudgetHolding.setGranted(tokens: Long) {
        grant.plan(stored = 0, planned = tokens)
        grant.confirm()
    }
}
