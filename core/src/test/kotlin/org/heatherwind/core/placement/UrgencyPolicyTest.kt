package org.heatherwind.core.placement

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.heatherwind.core.fleet.CallerLimits
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.fleet.Destination
import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.fleet.Route
import org.heatherwind.core.fleet.RoutingPlan
import org.heatherwind.core.fleet.ServiceProfile
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.TokenDemand
import org.heatherwind.core.work.WorkRequest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given generations of several ranks and lengths at one engine, when they are ranked, then the urgent come first. */
class UrgencyPolicyTest {
    // Guards against long prompts of a low rank that flood the engines before short ones of a higher rank, and back.
    @Test
    fun `given a flood of any lengths then no request comes after one of a lower rank`() {
        for (rank in 0..6) {
            val last = LENGTHS.maxOf { urgency(rank, it) }
            val firstOfNext = LENGTHS.minOf { urgency(rank + 1, it) }
            assertTrue(last <= firstOfNext, "rank $rank: $last, rank ${rank + 1}: $firstOfNext")
        }
    }

    private class Case(val name: String, val first: Int, val second: Int, val isBefore: Boolean)

    private val cases = listOf(
        Case("a short before a usual prompt of one rank", urgency(1, 300), urgency(1, 6_000), isBefore = true),
        Case("a usual before a very long prompt of one rank", urgency(1, 6_000), urgency(1, 50_000), isBefore = true),
        Case("a usual prompt before a short one of the next rank", urgency(0, 6_000), urgency(1, 300), isBefore = true),
        Case("a very long prompt level with short ones", urgency(0, 50_000), urgency(1, 300), isBefore = false),
        Case("a short prompt of the last two ranks", urgency(3, 300), urgency(4, 300), isBefore = true),
    )

    @TestFactory
    fun `given long prompts beside short ones then length counts within a rank`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                assertTrue(case.first <= case.second, "${case.first} ${case.second}")
                assertEquals(case.isBefore, case.first < case.second)
            }
        }

    @TestFactory
    fun `given ranks out of range then they count as the nearest one`(): List<DynamicTest> =
        listOf(Int.MIN_VALUE to 0, -1 to 0, 6 to 5, 10_000 to 5, Int.MAX_VALUE to 5).map { (rank, nearest) ->
            DynamicTest.dynamicTest("$rank") {
                assertEquals(LENGTHS.map { urgency(nearest, it) }, LENGTHS.map { urgency(rank, it) })
                assertTrue(LENGTHS.all { urgency(rank, it) in 0..9 })
            }
        }

    // Guards against ranks with gaps between them that all count as the last one.
    @Test
    fun `given ranks 10, 20 and 30 then they count as 0, 1 and 2`() {
        val gapped = listOf(10, 20, 30).map { urgency(it, 300, ranks = listOf(10, 20, 30)) }
        assertEquals(listOf(0, 1, 2).map { urgency(it, 300) }, gapped)
    }

    // The order in use for deployments without ranks.
    @Test
    fun `given one rank for all then the whole range distinguishes lengths`() {
        val urgencies = listOf(500L, 501, 1_000, 2_000, 4_000, 8_000, 16_000, 16_001)
            .map { UrgencyPolicy.urgencyOf(work(3, it), ranks = listOf(3)) }
        assertEquals(listOf(1, 2, 2, 3, 4, 5, 6, 7), urgencies)
    }

    private class PlanCase(val name: String, val routes: List<Int>, val customers: List<Int?>, val isRanked: Boolean)

    private val plans = listOf(
        PlanCase("routes differ", listOf(0, 1), listOf(null), isRanked = true),
        PlanCase("routes differ, without customers", listOf(0, 1), emptyList(), isRanked = true),
        PlanCase("one rank", listOf(2, 2), listOf(null, 2), isRanked = false),
        PlanCase("a customer differs", listOf(2, 2), listOf(null, 0), isRanked = true),
        PlanCase("all customers have one rank", listOf(0, 1), listOf(1, 1), isRanked = false),
    )

    @TestFactory
    fun `given a plan then it is ranked if its generations differ in rank`(): List<DynamicTest> = plans.map { case ->
        DynamicTest.dynamicTest(case.name) { assertEquals(case.isRanked, planOf(case).isRanked) }
    }

    private fun planOf(case: PlanCase) = RoutingPlan(
        version = 1,
        // The plain route's rank does not matter to engines.
        routes = persistentListOf(route(7, "desk")).addAll(case.routes.map { route(it, "pool") }),
        services = persistentMapOf(
            ServiceId("pool") to ServiceProfile(ServiceId("pool"), 100, EngineProfile(8, 100_000, 7)),
            ServiceId("desk") to ServiceProfile(ServiceId("desk"), 100),
        ),
        customers = persistentListOf<Customer>()
            .addAll(case.customers.mapIndexed { index, rank -> Customer(CustomerId("c$index"), priority = rank) }),
        limits = CallerLimits(),
    )

    private companion object {
        val LENGTHS = listOf(1L, 500, 2_000, 2_001, 16_000, 16_001, 54_600)

        fun urgency(rank: Int, unshared: Long, ranks: List<Int> = (0..10).toList()) =
            UrgencyPolicy.urgencyOf(work(rank, unshared), ranks)

        fun work(rank: Int, unshared: Long) = WorkRequest(
            id = "r",
            route = route(rank, "pool"),
            customer = null,
            tokens = TokenDemand(
                unshared + 5_000,
                100,
                persistentListOf(PromptPart("shared", 5_000), PromptPart("own", unshared)),
            ),
            receivedAt = MonotonicTime(0),
            deadline = MonotonicTime(10_000),
        )

        fun route(rank: Int, service: String) = Route(
            name = "chat",
            host = "h",
            pathPrefix = "/",
            destinations = persistentListOf(Destination(ServiceId(service), 1.0)),
            repeatability = Repeatability.AtMostOnce,
            timeoutMilliseconds = 10_000,
            latencyObjectiveMilliseconds = 300,
            priority = rank,
        )
    }
}
