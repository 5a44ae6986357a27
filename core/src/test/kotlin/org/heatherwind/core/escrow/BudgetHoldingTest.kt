package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Given a part of a budget, when the store is silent or the fleet is large, then the part is held and used. */
class BudgetHoldingTest {
    private class Silence(val name: String, val milliseconds: Long, val isWitnessed: Boolean, val reservable: Long)

    private val silences = listOf(
        Silence("the store answers", milliseconds = 100, isWitnessed = false, reservable = 1_000),
        Silence("a short silence", milliseconds = 1_700 - 1, isWitnessed = false, reservable = 1_249),
        Silence("a long silence", milliseconds = 2_700, isWitnessed = false, reservable = 1_000 + 500 + 250 + 1_250),
        Silence("a long silence with a witness", milliseconds = 2_700, isWitnessed = true, reservable = 7_550),
    )

    @TestFactory
    fun `the ceiling follows the silence of the store`(): List<DynamicTest> = silences.map { silence ->
        DynamicTest.dynamicTest(silence.name) {
            val holding = BudgetHolding(MonotonicTime(0))
            holding.setGranted(100_000)
            holding.confirm(
                SpendCeiling(tokens = 1_000, growthPerSecond = 1_000, releaseTokens = 500),
                MonotonicTime(0),
            )
            if (silence.isWitnessed) holding.confirmWitnessed(50_000)
            assertEquals(silence.reservable, holding.reservableTokens(MonotonicTime(silence.milliseconds)))
        }
    }

    @Test
    fun `the smaller of two reports counts until one is confirmed`() {
        val holding = BudgetHolding(MonotonicTime(0))
        holding.setGranted(100_000)
        holding.confirm(SpendCeiling(9_000, 0, 0), MonotonicTime(0))
        holding.propose(SpendCeiling(4_000, 0, 0), MonotonicTime(10))
        assertFalse(holding.tryReserve(5_000, MonotonicTime(20)))
        holding.confirm(SpendCeiling(9_000, 0, 0), MonotonicTime(10))
        assertTrue(holding.tryReserve(5_000, MonotonicTime(20)))
    }

    @Test
    fun `a loan moves tokens from one router to another`() {
        val lender = BudgetHolding(MonotonicTime(0)).also { it.setGranted(10_000) }
        lender.confirm(SpendCeiling(10_000, 0, 0), MonotonicTime(0))
        val borrower = BudgetHolding(MonotonicTime(0))
        borrower.transferIn(lender.transferOut(wanted = 3_000, now = MonotonicTime(1)))
        assertEquals(3_000, borrower.reservableTokens(MonotonicTime(1)))
        assertEquals(0, lender.usedTokens + borrower.usedTokens)
    }

    @Test
    fun `one request says less about demand in a large fleet`() {
        val covers = listOf(9, 60).map { holders ->
            val holding = BudgetHolding(MonotonicTime(0))
            (0L..30_000 step 250).forEach { now ->
                holding.updateHolderCount(holders)
                holding.demandPerSecond(MonotonicTime(now))
            }
            holding.recordDemand(12_000, MonotonicTime(30_000))
            holding.demandPerSecond(MonotonicTime(30_000)) * 15
        }
        assertTrue(covers[0] > 30_000, "a small fleet follows at once: ${covers[0]}")
        assertTrue(covers[1] < 15_000, "a large fleet follows slowly: ${covers[1]}")
    }
}
