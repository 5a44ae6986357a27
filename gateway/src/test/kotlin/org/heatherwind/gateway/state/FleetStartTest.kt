package org.heatherwind.gateway.state

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.gateway.store.CountingRecordStore
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StoreCall
import org.heatherwind.gateway.store.StoreCallOutcome
import org.heatherwind.gateway.store.StoreCallPurpose
import org.heatherwind.gateway.store.StreamPartition
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertTrue

/** Pattern: 83 routers share 24 customers on 24 partitions, all start at once, and later restart at once. */
@OptIn(ExperimentalCoroutinesApi::class)
class FleetStartTest {
    private val calls = LinkedHashMap<Pair<StoreCallPurpose, StoreCallOutcome>, Int>()

    @Test
    fun `given a large fleet when all routers start and restart at once then few calls meet a conflict`() = runTest {
        val records = MemoryRecords()
        val routers = List(ROUTERS) { newRouter(records, it) }
        try {
            routers.forEach { it.start() }
            delay(IDLE_MILLISECONDS)
            assertCalls("the start")
            routers.forEach { assertInitialGrants(it, "the start") }
            routers.forEach { it.kill() }
            delay(OFF_MILLISECONDS)
            routers.forEach { it.start() }
            delay(IDLE_MILLISECONDS)
            assertCalls("the restart")
            routers.forEach { assertInitialGrants(it, "the restart") }
        } finally {
            routers.forEach { it.kill() }
        }
    }

    /** Pattern: a router is added to a running fleet, and callers come soon. */
    @Test
    fun `given a running fleet when a router joins then it has its initial grants within two seconds`() = runTest {
        val records = MemoryRecords()
        val routers = List(SMALL_FLEET) { newRouter(records, it, partitions = 2) }
        try {
            routers.drop(1).forEach { it.start() }
            delay(IDLE_MILLISECONDS)
            routers.first().start()
            delay(JOINING_MILLISECONDS)
            assertInitialGrants(routers.first(), "joining")
        } finally {
            routers.forEach { it.kill() }
        }
    }

    private fun assertInitialGrants(router: BudgetRouter, event: String) {
        val held = router.budgets?.currentReports().orEmpty().filterValues { it.availableTokens > 0 }.keys
        val initial = GrantPolicy().initialGrantCustomers(customers, ROUTERS).map { it.id }
        assertTrue(held.containsAll(initial), "$event: no grants of ${initial - held}")
    }

    private fun TestScope.newRouter(records: MemoryRecords, index: Int, partitions: Int = PARTITIONS) = BudgetRouter(
        name = "router-$index",
        test = this,
        records = records,
        customers = customers,
        random = Random(SEED + index),
        partitions = partitions,
        countCalls = ::counted,
    )

    private fun counted(store: RecordStore): RecordStore = CountingRecordStore(
        store = store,
        purposeOfRead = { purposeOf(it, StoreCallPurpose.REPORT_READ, StoreCallPurpose.LEDGER_READ) },
        purposeOfAppend = { purposeOf(it, StoreCallPurpose.REPORT, StoreCallPurpose.LEDGER_APPEND) },
        onCall = { call: StoreCall -> calls.merge(call.purpose to call.outcome, 1, Int::plus) },
    )

    private fun purposeOf(partition: StreamPartition, report: StoreCallPurpose, ledger: StoreCallPurpose) =
        if (partition == ReportPublisher.partition) report else ledger

    /** An update of the ledger that is stored may cost one more read and one conflict, not many. */
    private fun assertCalls(event: String) {
        println("seed $SEED, $event: $calls, ${calls.values.sum()} in all")
        val counted = calls.toMap().also { calls.clear() }
        val conflicts = counted[StoreCallPurpose.LEDGER_APPEND to StoreCallOutcome.CONFLICT] ?: 0
        val stored = counted[StoreCallPurpose.LEDGER_APPEND to StoreCallOutcome.DONE] ?: 0
        assertTrue(stored >= ROUTERS, "$event: only $stored updates of the ledger were stored")
        assertTrue(conflicts <= stored, "$event: $conflicts conflicts for $stored stored updates")
    }

    private companion object {
        const val SEED = 83
        const val ROUTERS = 83
        const val PARTITIONS = 24
        const val SMALL_FLEET = 3
        const val JOINING_MILLISECONDS = 2_000L
        const val OFF_MILLISECONDS = 2_500L

        /** Time from the start of the routers to the first request. */
        const val IDLE_MILLISECONDS = 19_000L
        val customers = List(24) {
            Customer(CustomerId("c$it"), persistentListOf("key-$it"), prepaidTokens = 1_000_000L + it)
        }
    }
}
