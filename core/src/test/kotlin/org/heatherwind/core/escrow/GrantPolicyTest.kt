package org.heatherwind.core.escrow

import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Given a large fleet in which most callers of a customer reach one router (uneven entry), when grants and ceilings are
 * sized, then that router's share follows its demand, and the failure of all routers loses a bounded share.
 */
class GrantPolicyTest {
    private class Case(val name: String, val routers: Int, val share: Double)

    private val cases = listOf(
        Case("nine routers, equal demand", routers = 9, share = 1.0 / 9),
        Case("nine routers, one is the entry for half", routers = 9, share = 0.5),
        Case("60 routers, one is the entry for half", routers = 60, share = 0.5),
        Case("95 routers, one is the entry for nearly all", routers = 95, share = 0.95),
        Case("95 routers, equal demand", routers = 95, share = 1.0 / 95),
        Case("361 routers, one is the entry for a fifth", routers = 361, share = 0.2),
    )

    @TestFactory
    fun `given uneven entry when a grant is enlarged then it covers a partition at once`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val holding = BudgetHolding(MonotonicTime(0))
                val demand = DEMAND_PER_SECOND * case.share
                (0L until 20_000 step 250).forEach { holding.recordDemand((demand / 4).toLong(), MonotonicTime(it)) }
                val now = MonotonicTime(20_000)
                val granted = GrantPolicy().grantFor(
                    holder = holder,
                    holding = holding,
                    allocation = BudgetAllocation(),
                    prepaidTokens = REMAINING_TOKENS,
                    remaining = remainingOf(case),
                    holders = case.routers,
                    neededTokens = 0,
                    now = now,
                )
                val demandInPartition = demand * PARTITION_SECONDS
                assertTrue(granted >= demandInPartition, "$granted granted, $demandInPartition requested in 9 s")
            }
        }

    @TestFactory
    fun `given any fleet when all routers fail at once then at most 6 percent is lost`(): List<DynamicTest> =
        cases.flatMap { case ->
            listOf(5.0, 12.0, 40.0).map { seconds ->
                DynamicTest.dynamicTest("${case.name}, tokens for $seconds s") {
                    val demands = listOf(DEMAND_PER_SECOND * case.share) +
                        List(case.routers - 1) { DEMAND_PER_SECOND * (1 - case.share) / (case.routers - 1) }
                    val tokens = (DEMAND_PER_SECOND * seconds).toLong()
                    val lost = demands.sumOf { demand ->
                        RemainingBudget(tokens, DEMAND_PER_SECOND - demand, case.routers).lossAllowanceTokens(demand)
                    }
                    assertTrue(lost <= tokens * 0.06, "$lost of $tokens tokens lost")
                }
            }
        }

    @TestFactory
    fun `given ample tokens when a router reports then its ceiling lasts until the next report`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val demand = DEMAND_PER_SECOND * case.share
                val reportIntervalSeconds = minOf(case.routers * 0.01, 1.0)
                val slack = remainingOf(case).lossAllowanceTokens(demand)
                assertTrue(slack >= demand * reportIntervalSeconds, "$slack tokens at $demand per second")
            }
        }

    private class SlackCase(
        val name: String,
        val remaining: RemainingBudget,
        val demandPerSecond: Double,
        val largestRequest: Long,
        val expected: LongRange,
    )

    private val slackCases = listOf(
        SlackCase(
            "83 routers, one entry with half the demand",
            RemainingBudget(6_000_000, 75_000.0, LARGE_FLEET, prepaidTokens = 8_000_000),
            demandPerSecond = 75_000.0,
            largestRequest = 46_000,
            expected = 75_000 * 83 * 10 / 1_000 + 46_000L..6_000_000L / 10,
        ),
        SlackCase(
            "no demand known yet: the first request of a customer does not wait for a report",
            RemainingBudget(3_000_000, 0.0, LARGE_FLEET, prepaidTokens = 3_000_000),
            demandPerSecond = 0.0,
            largestRequest = 0,
            expected = 5_000L..3_000_000L * 15 / 100 / LARGE_FLEET,
        ),
        SlackCase(
            "little left of the prepaid tokens: as before",
            RemainingBudget(3_000_000, 75_000.0, LARGE_FLEET, prepaidTokens = 12_000_000),
            demandPerSecond = 75_000.0,
            largestRequest = 46_000,
            expected = 46_125L..46_125L,
        ),
        SlackCase(
            "few seconds left: as before",
            RemainingBudget(750_000, 75_000.0, LARGE_FLEET, prepaidTokens = 800_000),
            demandPerSecond = 75_000.0,
            largestRequest = 46_000,
            expected = 11_531L..11_531L,
        ),
        SlackCase(
            "9 routers: as before",
            RemainingBudget(6_000_000, 75_000.0, 9, prepaidTokens = 8_000_000),
            demandPerSecond = 75_000.0,
            largestRequest = 46_000,
            expected = 36_750L..36_750L,
        ),
    )

    @TestFactory
    fun `given the size of a fleet when a router reports then its slack follows demand and rest`(): List<DynamicTest> =
        slackCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val slack = case.remaining.lossAllowanceTokens(case.demandPerSecond, case.largestRequest)
                assertTrue(slack in case.expected, "$slack instead of ${case.expected}")
            }
        }

    @TestFactory
    fun `given much left when all routers of a large fleet fail at once then at most 15 percent is lost`() =
        listOf(1.0 / LARGE_FLEET, 0.5, 0.95, 1.0).flatMap { share ->
            listOf(0.0, 300.0, 150_000.0).map { demand ->
                DynamicTest.dynamicTest("$LARGE_FLEET routers, one with $share of $demand tokens per second") {
                    val demands = listOf(demand * share) +
                        List(LARGE_FLEET - 1) { demand * (1 - share) / (LARGE_FLEET - 1) }
                    val lost = demands.sumOf {
                        RemainingBudget(REMAINING_TOKENS, demand - it, LARGE_FLEET, prepaidTokens = REMAINING_TOKENS)
                            .lossAllowanceTokens(it, largestRequestTokens = 1_000_000)
                    }
                    assertTrue(lost <= REMAINING_TOKENS * 0.15, "$lost of $REMAINING_TOKENS tokens lost")
                }
            }
        }

    @TestFactory
    fun `given a large fleet when it starts then the largest customers get grants in advance`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val customers = (1..80).map { Customer(CustomerId("c$it"), prepaidTokens = it * 1_000L) }
                val chosen = GrantPolicy().initialGrantCustomers(customers, case.routers)
                assertTrue(chosen.size in 1..64 && chosen.size * case.routers <= 1_200, "${chosen.size} customers")
                assertEquals(customers.takeLast(chosen.size).toSet(), chosen.toSet())
            }
        }

    /** Pattern: five requests of 46,318 tokens at one of 83 routers, whose demand would use the rest in 13 s. */
    @Test
    fun `given a divided budget when five large requests come then tokens are left for them`() {
        val now = MonotonicTime(20_000)
        val demand = 75_000.0 / LARGE_FLEET
        val remaining = RemainingBudget(975_990, demand * (LARGE_FLEET - 1), LARGE_FLEET)
        val holding = BudgetHolding(MonotonicTime(0)).also { it.updateHolderCount(LARGE_FLEET) }
        (0L until 20_000 step 250).forEach { holding.recordDemand((demand / 4).toLong(), MonotonicTime(it)) }
        var allocation = BudgetAllocation()
        repeat(LARGE_FLEET * 4) {
            val other = Incarnation.of(InstanceId("router-${it % LARGE_FLEET}"), Timestamp(1_700_000_000_000))
            val granted = GrantPolicy()
                .grantFor(other, holding, allocation, 975_990, remaining, LARGE_FLEET, neededTokens = 0, now)
            allocation = allocation.withGrant(other, granted)
        }
        val granted = GrantPolicy()
            .grantFor(holder, holding, allocation, 975_990, remaining, LARGE_FLEET, neededTokens = 5 * 46_318, now)
        assertTrue(allocation.allocatedTokens >= 975_990 * 0.4, "only ${allocation.allocatedTokens} were divided")
        assertTrue(granted >= 5 * 46_318, "$granted granted, ${allocation.allocatedTokens} of 975,990 divided before")
    }

    private fun remainingOf(case: Case) =
        RemainingBudget(REMAINING_TOKENS, DEMAND_PER_SECOND * (1 - case.share), case.routers)

    private companion object {
        const val LARGE_FLEET = 83
        const val DEMAND_PER_SECOND = 150_000.0

        /** Tokens for 40 s of demand. */
        const val REMAINING_TOKENS = 6_000_000L

        /** Length of a partition that separates all routers from each other and from the store. */
        const val PARTITION_SECONDS = 9
        val holder = Incarnation.of(InstanceId("router-1"), Timestamp(1_700_000_000_000))
    }
}
