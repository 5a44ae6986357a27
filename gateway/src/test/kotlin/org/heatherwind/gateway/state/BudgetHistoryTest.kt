package org.heatherwind.gateway.state

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertTrue

/**
 * Given routers that are killed, restarted and disconnected from the store at times drawn from a seed, when callers
 * request more tokens than were prepaid, then at most the prepaid tokens are delivered, and at least the minimum share.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class BudgetHistoryTest {
    private class Case(
        val name: String,
        val faultProbability: Double,
        val isStoreDisconnected: Boolean,
        val kills: Int,
        val minimumDeliveredShare: Double,
        val isKilledWhileDisconnected: Boolean = false,
        val customers: Int = 1,
        val maximumAnswerDelayMilliseconds: Long = 0,
        val restores: Int = 0,
    )

    private val cases = listOf(
        Case("no faults", faultProbability = 0.0, isStoreDisconnected = false, kills = 0, minimumDeliveredShare = 0.97),
        Case(
            "store calls rejected, lost and delayed",
            faultProbability = 0.2,
            isStoreDisconnected = false,
            kills = 0,
            minimumDeliveredShare = 0.9,
        ),
        Case(
            "routers disconnected from the store",
            faultProbability = 0.0,
            isStoreDisconnected = true,
            kills = 0,
            minimumDeliveredShare = 0.9,
        ),
        Case(
            "all routers killed once",
            faultProbability = 0.0,
            isStoreDisconnected = false,
            kills = 1,
            minimumDeliveredShare = 0.9,
        ),
        Case(
            "routers killed while disconnected from the store",
            faultProbability = 0.05,
            isStoreDisconnected = true,
            kills = 0,
            minimumDeliveredShare = 0.5,
            isKilledWhileDisconnected = true,
        ),
        // Guards against grants that are overwritten because answers of the store overtook each other.
        Case(
            "several customers in a partition, and answers of the store that overtake each other",
            faultProbability = 0.0,
            isStoreDisconnected = false,
            kills = 0,
            minimumDeliveredShare = 0.9,
            customers = 8,
            maximumAnswerDelayMilliseconds = 240,
        ),
        // Guards against grants that the store lost and that are granted again to another router.
        Case(
            "a store that comes back from a copy of itself",
            faultProbability = 0.0,
            isStoreDisconnected = false,
            kills = 0,
            minimumDeliveredShare = 0.9,
            restores = 3,
        ),
        Case(
            "a store that comes back from a copy, with calls rejected, lost and delayed",
            faultProbability = 0.1,
            isStoreDisconnected = false,
            kills = 0,
            minimumDeliveredShare = 0.85,
            customers = 3,
            restores = 2,
        ),
        Case(
            "kills, disconnections and store faults together",
            faultProbability = 0.15,
            isStoreDisconnected = true,
            kills = 3,
            minimumDeliveredShare = 0.5,
        ),
    )

    @TestFactory
    fun `given faults when demand exceeds the budget then at most the budget is delivered`(): List<DynamicTest> =
        cases.flatMap { case ->
            (1..SEEDS).map { seed ->
                DynamicTest.dynamicTest("${case.name}, seed $seed") { runTest { runHistory(case, seed) } }
            }
        }

    private suspend fun TestScope.runHistory(case: Case, seed: Int) {
        val random = Random(seed)
        val records = MemoryRecords()
        val prepaid = PREPAID / case.customers
        val deliveries = List(case.customers) { customerOf("studio-$it", prepaid) }.associateWith { Delivery() }
        val faultScope = CoroutineScope(Job() + StandardTestDispatcher(testScheduler))
        val routers = List(ROUTERS) { newRouter("router-$it", case, records, deliveries, Random(random.nextInt())) }
        routers.forEach { historyRouter -> historyRouter.router.peers = (routers - historyRouter).map { it.router } }
        routers.forEach { it.start() }
        if (case.isStoreDisconnected) {
            faultScope.launch {
                repeat(2) {
                    delay(random.nextLong(6_000, 12_000))
                    routers.forEach { it.router.setDisconnected(true) }
                    delay(random.nextLong(2_000, 8_000))
                    if (case.isKilledWhileDisconnected) {
                        routers.shuffled(random).take(random.nextInt(1, ROUTERS)).forEach { it.router.kill() }
                        delay(random.nextLong(300, 3_000))
                        routers.forEach { it.start() }
                    }
                    routers.forEach { it.router.setDisconnected(false) }
                }
            }
        }
        faultScope.launch { repeat(case.restores) { restore(records, routers, random) } }
        faultScope.launch {
            repeat(case.kills) {
                delay(random.nextLong(8_000, 14_000))
                routers.forEach { it.router.kill() }
                delay(random.nextLong(600, 2_000))
                routers.forEach { it.start() }
            }
        }
        try {
            delay(HISTORY_MILLISECONDS)
        } finally {
            routers.forEach { it.router.kill() }
            faultScope.cancel()
        }
        deliveries.forEach { (customer, delivery) ->
            assertTrue(
                delivery.tokens <= prepaid,
                "seed $seed, ${customer.id}: ${delivery.tokens} of $prepaid tokens delivered",
            )
        }
        val deliveredShare = deliveries.values.sumOf { it.tokens }.toDouble() / PREPAID
        assertTrue(
            deliveredShare >= case.minimumDeliveredShare,
            "seed $seed: only a share of $deliveredShare of the budget was delivered",
        )
    }

    /** Lets the store come back from a copy that is up to some seconds old; it is away for a moment. */
    private suspend fun restore(records: MemoryRecords, routers: List<HistoryRouter>, random: Random) {
        delay(random.nextLong(3_000, 12_000))
        records.copy()
        delay(random.nextLong(200, 5_000))
        routers.forEach { it.router.setDisconnected(true) }
        delay(random.nextLong(100, 1_500))
        records.restore()
        routers.shuffled(random).forEach {
            it.router.setDisconnected(false)
            delay(random.nextLong(300))
        }
    }

    private fun TestScope.newRouter(
        name: String,
        case: Case,
        records: MemoryRecords,
        deliveries: Map<Customer, Delivery>,
        random: Random,
    ): HistoryRouter {
        val router = BudgetRouter(
            name,
            this,
            records,
            deliveries.keys.toList(),
            random,
            case.faultProbability,
            case.maximumAnswerDelayMilliseconds,
        )
        return HistoryRouter(router, deliveries, random)
    }

    /** Tokens that were delivered to callers. */
    private class Delivery {
        var tokens = 0L
    }

    private class HistoryRouter(
        val router: BudgetRouter,
        private val deliveries: Map<Customer, Delivery>,
        private val random: Random,
    ) {
        fun start() {
            val processScope = router.start() ?: return
            val budgets = router.budgets ?: return
            processScope.launch { sendRequests(processScope, budgets) }
        }

        private suspend fun sendRequests(processScope: CoroutineScope, budgets: BudgetManager) {
            while (true) {
                delay(random.nextLong(20, 180))
                processScope.launch { sendRequest(budgets) }
            }
        }

        private suspend fun sendRequest(budgets: BudgetManager) {
            val (customer, delivery) = deliveries.entries.singleOrNull() ?: deliveries.entries.random(random)
            val prompt = random.nextLong(200, 6_000)
            val output = random.nextLong(50, 400)
            val deadline = router.clock.now().plusMilliseconds(1_500)
            val decision = budgets.reserve(customer, prompt + output, deadline) as? BudgetDecision.Reserved ?: return
            delivery.tokens += prompt
            delay(random.nextLong(20, 200))
            decision.reservation.charge(prompt)
            val outputTokens = random.nextLong(output + 1)
            delay(random.nextLong(20, 400))
            delivery.tokens += outputTokens
            decision.reservation.charge(outputTokens)
            decision.reservation.end()
        }
    }

    private companion object {
        const val SEEDS = 12
        const val ROUTERS = 4
        const val PREPAID = 3_000_000L
        const val HISTORY_MILLISECONDS = 60_000L

        fun customerOf(id: String, prepaid: Long) =
            Customer(CustomerId(id), persistentListOf("key-$id"), priority = null, prepaidTokens = prepaid)
    }
}
