package org.heatherwind.gateway.state

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Pattern: a router of 83 stops as planned while the others update the same partition all the time. */
@OptIn(ExperimentalCoroutinesApi::class)
class LedgerPartitionTest {
    private val self = Incarnation.of(InstanceId("router-84"), Timestamp(1))
    private val clock = MonotonicClock.system
    private val log = DecisionLog(clock, GatewayMetrics())
    private val change = LedgerChange { _, _ -> LedgerPlan.Store(mapOf(customer to BudgetAllocation())) }

    @Test
    fun `given conflicts when a grant is closed then the pauses fit a planned stop`() = runTest {
        val ledger = LedgerPartition(AlwaysConflicting, StreamPartition("budgets", 0), self, clock, log) { true }
        val earlier = async { ledger.update(change = change) }
        delay(100)
        val begunAt = currentTime
        val closing = async { ledger.update(isClosing = true, change = change) }
        assertEquals(LedgerUpdate.Conflicting, earlier.await())
        assertEquals(LedgerUpdate.Conflicting, closing.await())
        assertTrue(currentTime - begunAt <= 2 * 144, "the updates took ${currentTime - begunAt} ms")
    }

    /** Other routers store their updates between each read and append. */
    private object AlwaysConflicting : RecordStore {
        private val grants = (1..83).associate { "router-$it@1" to 1_000L }
        private val value = grants.entries.joinToString(",", """{"closed":0,"certain":0,"grants":{""", "}}") {
            "\"${it.key}\":${it.value}"
        }

        override suspend fun newest(partition: StreamPartition): StreamRead =
            StreamRead.Records(listOf(KeyedRecord(0, customer.value, value.encodeToByteArray())), 1)

        override suspend fun read(
            partition: StreamPartition,
            from: Long,
            waitMilliseconds: Long,
            maximumKilobytes: Int,
        ): StreamRead = newest(partition)

        override suspend fun append(
            partition: StreamPartition,
            records: List<NewRecord>,
            condition: AppendCondition,
        ): StreamAppend = StreamAppend.Conflict
    }

    private companion object {
        val customer = CustomerId("studio")
    }
}
