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
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.Moment
import org.heatherwind.core.identity.SteadyClock
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.peer.LoanRequest
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
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
    )

    private val cases = listOf(
        Case("no trouble", faultShare = 0.0, isCut = false, kills = 0, leastServed = 0.97),
        Case("calls refused, lost and late", faultShare = 0.2, isCut = false, kills = 0, leastServed = 0.9),
        Case("cuts from the store", faultShare = 0.0, isCut = true, kills = 0, leastServed = 0.9),
        Case("all routers killed once", faultShare = 0.0, isCut = false, kills = 1, leastServed = 0.9),
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
        routers.forEach { router -> router.peers = routers - router }
        routers.forEach { it.start() }
        if (case.isCut) {
            world.launch {
                repeat(2) {
                    delay(random.nextLong(6_000, 12_000))
                    routers.forEach { it.setCut(true) }
                    delay(random.nextLong(2_000, 8_000))
                    routers.forEach { it.setCut(false) }
                }
            }
        }
        world.launch {
            repeat(case.kills) {
                delay(random.nextLong(8_000, 14_000))
                routers.forEach { it.kill() }
                delay(random.nextLong(600, 2_000))
                routers.forEach { it.start() }
            }
        }
        delay(HISTORY_MILLISECONDS)
        routers.forEach { it.kill() }
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
        private val name: String,
        private val test: TestScope,
        private val records: MemoryRecords,
        private val truth: Truth,
        private val random: Random,
        private val faultShare: Double,
    ) {
        private val clock = SteadyClock { Moment(test.currentTime) }
        private var scope: CoroutineScope? = null
        private var store: MemoryRecordStore? = null
        private var budgets: BudgetKeeper? = null

        /** Routers that this one may borrow from. */
        var peers: List<HistoryRouter> = emptyList()
        private var isCut = false

        fun setCut(cut: Boolean) {
            isCut = cut
            store?.isCut = cut
        }

        fun kill() {
            scope?.cancel()
            scope = null
            budgets = null
        }

        fun start() {
            if (scope != null) return
            val life = CoroutineScope(Job() + StandardTestDispatcher(test.testScheduler))
            val startedAt = Timestamp(EPOCH + test.currentTime)
            val self = Incarnation.of(InstanceId(name), startedAt)
            val own = MemoryRecordStore(records, random, test.backgroundScope, faultShare)
            own.isCut = isCut
            val log = DecisionLog(clock, GatewayMetrics())
            val reports =
                RouterReports(self, own, clock, log, startedAt, {
                    Timestamp(EPOCH + test.currentTime)
                }, { false }, null)
            val ledgers = BudgetLedgers(own, partitions = 2)
            val budgets = BudgetKeeper(
                self = self,
                ledgers = ledgers,
                scope = life,
                clock = clock,
                log = log,
                policy = GrantPolicy(),
                customerOf = { customer },
                reports = reports,
                lender = { customer, needed -> borrow(customer, needed) },
            )
            this.budgets = budgets
            reports.budgets = budgets
            scope = life
            store = own
            life.launch {
                reports.run(onEstablished = {
                    life.launch { PredecessorGrants(self, ledgers, reports, log).closeAll() }
                })
            }
            val follower = StreamFollower(own, StreamPartition("routers"), FollowPace(0, 500), clock, log, reports)
            life.launch { follower.run() }
            life.launch {
                while (true) {
                    delay(250)
                    budgets.tend()
                }
            }
            life.launch { callers(life, budgets) }
        }

        private suspend fun borrow(customer: CustomerId, needed: Long): Long {
            delay(random.nextLong(1, 5))
            val lent = peers.shuffled(random).firstNotNullOfOrNull { it.budgets } ?: return 0
            val tokens = lent.lend(LoanRequest(customer.value, needed, needed * 2))
            return if (random.nextDouble() < faultShare) 0 else tokens
        }

        private suspend fun callers(life: CoroutineScope, budgets: BudgetKeeper) {
            while (true) {
                delay(random.nextLong(20, 180))
                life.launch { request(budgets) }
            }
        }

        private suspend fun request(budgets: BudgetKeeper) {
            val prompt = random.nextLong(200, 6_000)
            val output = random.nextLong(50, 400)
            val until = clock.now().plusMilliseconds(1_500)
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
        const val EPOCH = 1_700_000_000_000L
        val customer = Customer(CustomerId("studio"), persistentListOf("key"), priority = null, prepaidTokens = PREPAID)
    }
}
