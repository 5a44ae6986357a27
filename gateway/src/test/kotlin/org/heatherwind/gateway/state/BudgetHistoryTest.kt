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
 * Given routers that die, restart and lose the store at seeded moments, when customers send more than they prepaid,
 * then no customer gets more than was prepaid, and little of it is lost.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class BudgetHistoryTest {
    private class Case(
        val name: String,
        val faultShare: Double,
        val isCut: Boolean,
        val kills: Int,
        val leastServed: Double,
        val isKilledInCut: Boolean = false,
    )

    private val cases = listOf(
        Case("no trouble", faultShare = 0.0, isCut = false, kills = 0, leastServed = 0.97),
        Case("calls refused, lost and late", faultShare = 0.2, isCut = false, kills = 0, leastServed = 0.9),
        Case("cuts from the store", faultShare = 0.0, isCut = true, kills = 0, leastServed = 0.9),
        Case("all routers killed once", faultShare = 0.0, isCut = false, kills = 1, leastServed = 0.9),
        Case("kills within cuts", faultShare = 0.05, isCut = true, kills = 0, leastServed = 0.5, isKilledInCut = true),
        Case("kills, cuts and faults together", faultShare = 0.15, isCut = true, kills = 3, leastServed = 0.5),
    )

    @TestFactory
    fun `no customer gets more than was prepaid`(): List<DynamicTest> = cases.flatMap { case ->
        (1..SEEDS).map { seed ->
            DynamicTest.dynamicTest("${case.name}, seed $seed") { runTest { history(case, seed) } }
        }
    }

    private suspend fun TestScope.history(case: Case, seed: Int) {
        val random = Random(seed)
        val records = MemoryRecords()
        val truth = Truth()
        val world = CoroutineScope(Job() + StandardTestDispatcher(testScheduler))
        val routers = List(ROUTERS) { index ->
            HistoryRouter("router-$index", this, records, truth, Random(random.nextInt()), case.faultShare)
        }
        routers.forEach { one -> one.router.peers = (routers - one).map { it.router } }
        routers.forEach { it.start() }
        if (case.isCut) {
            world.launch {
                repeat(2) {
                    delay(random.nextLong(6_000, 12_000))
                    routers.forEach { it.router.setCut(true) }
                    delay(random.nextLong(2_000, 8_000))
                    if (case.isKilledInCut) {
                        routers.shuffled(random).take(random.nextInt(1, ROUTERS)).forEach { it.router.kill() }
                        delay(random.nextLong(300, 3_000))
                        routers.forEach { it.start() }
                    }
                    routers.forEach { it.router.setCut(false) }
                }
            }
        }
        world.launch {
            repeat(case.kills) {
                delay(random.nextLong(8_000, 14_000))
                routers.forEach { it.router.kill() }
                delay(random.nextLong(600, 2_000))
                routers.forEach { it.start() }
            }
        }
        delay(HISTORY_MILLISECONDS)
        routers.forEach { it.router.kill() }
        world.cancel()
        val served = truth.delivered.toDouble() / PREPAID
        assertTrue(truth.delivered <= PREPAID, "seed $seed: ${truth.delivered} of $PREPAID tokens delivered")
        assertTrue(served >= case.leastServed, "seed $seed: only $served of the budget was delivered")
    }

    /** What callers really got. */
    private class Truth {
        var delivered = 0L
    }

    private class HistoryRouter(
        name: String,
        test: TestScope,
        records: MemoryRecords,
        private val truth: Truth,
        private val random: Random,
        faultShare: Double,
    ) {
        val router = BudgetRouter(name, test, records, customer, random, faultShare)

        fun start() {
            val life = router.start() ?: return
            val budgets = router.budgets ?: return
            life.launch { callers(life, budgets) }
        }

        private suspend fun callers(life: CoroutineScope, budgets: BudgetManager) {
            while (true) {
                delay(random.nextLong(20, 180))
                life.launch { request(budgets) }
            }
        }

        private suspend fun request(budgets: BudgetManager) {
            val prompt = random.nextLong(200, 6_000)
            val output = random.nextLong(50, 400)
            val until = router.clock.now().plusMilliseconds(1_500)
            val decision = budgets.reserve(customer, prompt + output, until) as? BudgetDecision.Reserved ?: return
            truth.delivered += prompt
            delay(random.nextLong(20, 200))
            decision.reservation.charge(prompt)
            val given = random.nextLong(output + 1)
            delay(random.nextLong(20, 400))
            truth.delivered += given
            decision.reservation.charge(given)
            decision.reservation.end()
        }
    }

    private companion object {
        const val SEEDS = 12
        const val ROUTERS = 4
        const val PREPAID = 3_000_000L
        const val HISTORY_MILLISECONDS = 60_000L
        val customer = Customer(CustomerId("studio"), persistentListOf("key"), priority = null, prepaidTokens = PREPAID)
    }
}
