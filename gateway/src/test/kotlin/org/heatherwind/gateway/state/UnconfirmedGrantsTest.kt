package org.heatherwind.gateway.state

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.escrow.BudgetHolding
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given an update of a grant that the store may still carry out, when another update is under way, then both count. */
class UnconfirmedGrantsTest {
    private var now = MonotonicTime(0)
    private val clock = MonotonicClock { now }
    private val log = DecisionLog(clock, GatewayMetrics())
    private val self = Incarnation.of(InstanceId("router-1"), Timestamp(1))
    private val peerReports = PeerReports(self, clock, log)
    private val updater = GrantUpdater(
        self = self,
        fleetBudgets = FleetBudgetView(peerReports) { customer },
        peerReports = peerReports,
        policy = GrantPolicy(),
        clock = clock,
        log = log,
        customerOf = { customer },
    )

    // Guards against a grant that is usable before the store confirms it, while a lower one may still be stored.
    @Test
    fun `given a return without a response when more is asked for then it is usable only once it is stored`() =
        runTest {
            val store = ScriptedStore(MemoryRecordStore(MemoryRecords(), Random(1), this, faultProbability = 0.0))
            val budget = CustomerBudget(
                customer.id,
                BudgetHolding(now),
                LedgerPartition(store, StreamPartition("budgets"), self, clock, log) { false },
            )
            assertEquals(GrantUpdateOutcome.UPDATED, updater.update(budget, neededTokens = 26_000, isAwaited = true))
            assertTrue(budget.holding.grantedTokens >= 26_000)

            now = now.plusMilliseconds(600_000)
            store.answer = CompletableDeferred(StreamAppend.Unknown("no response"))
            assertEquals(GrantUpdateOutcome.FAILED, updater.update(budget, neededTokens = 0, isAwaited = false))
            val returned = budget.holding.grantedTokens
            assertTrue(returned < 10_000, "$returned tokens are kept")

            val answer = CompletableDeferred<StreamAppend>().also { store.answer = it }
            val update = async { updater.update(budget, neededTokens = 12_000, isAwaited = true) }
            while (store.appends < 3) delay(1)
            assertEquals(returned, budget.holding.grantedTokens, "while the store may hold $returned tokens")

            answer.complete(StreamAppend.Appended(store.appends.toLong()))
            assertEquals(GrantUpdateOutcome.UPDATED, update.await())
            assertTrue(budget.holding.grantedTokens in 12_000 until 26_000)
        }

    /** A store whose appends have the outcome [answer], as soon as it is known, instead of taking effect. */
    private class ScriptedStore(private val store: RecordStore) : RecordStore by store {
        var answer: CompletableDeferred<StreamAppend>? = null
        var appends = 0
            private set

        override suspend fun append(
            partition: StreamPartition,
            records: List<NewRecord>,
            condition: AppendCondition,
        ): StreamAppend {
            appends++
            return answer?.await() ?: store.append(partition, records, condition)
        }
    }

    private companion object {
        val customer = Customer(CustomerId("studio"), persistentListOf("key"), prepaidTokens = 26_470)
    }
}
