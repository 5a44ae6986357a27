package org.heatherwind.gateway.state

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.peer.WitnessReference
import org.heatherwind.gateway.peer.WitnessService
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given an unexpected failure, when reports are published, then the router goes on reporting. */
@OptIn(ExperimentalCoroutinesApi::class)
class ReportPublisherTest {
    // Guards against a router that stops reporting, and so can spend no more tokens, after one unexpected failure.
    @TestFactory
    fun `given one failing call when reports are published then they go on`(): List<DynamicTest> =
        (1..CALLS).map { failingCall ->
            DynamicTest.dynamicTest("call $failingCall of the store fails") { publish(failingCall) }
        }

    // Guards against a spend ceiling in use that the store does not hold, since a later report was confirmed unread.
    @TestFactory
    fun `given a stop while a report is on its way when both publish then only the last report sent is confirmed`() =
        (1..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                runTest {
                    val records = MemoryRecords()
                    val random = Random(seed)
                    val store = MemoryRecordStore(records, random, backgroundScope, FAULTS, ANSWER_DELAY_MILLISECONDS)
                    val budgets = LastReport()
                    val publisher = publisherOf(store, budgets)
                    val running = launch { publisher.run(onFenced = {}) }
                    repeat(STOPS) {
                        delay(random.nextLong(ANSWER_DELAY_MILLISECONDS))
                        if (publisher.isFenced) publisher.publishOnce()
                    }
                    running.cancel()
                    assertEquals(emptyList(), budgets.confirmedTooLate)
                }
            }
        }

    /** Pattern: a request of a customer with ample tokens, at one of 83 routers, needs a higher ceiling. */
    @TestFactory
    fun `given a large fleet when a request waits for a report then it is sent within a tenth of an aim`() =
        (1..SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                runTest {
                    val random = Random(seed)
                    val store = MemoryRecordStore(MemoryRecords(), random, backgroundScope, faultProbability = 0.0)
                    val reports = PeerReports(self, clock(), DecisionLog(clock(), GatewayMetrics()))
                    val publisher = publisherOf(store, NoBudgets, reports)
                    val running = launch { publisher.run(onFenced = {}) }
                    delay(1_000 + random.nextLong(1_000))
                    reports.onRecords((1..OTHER_ROUTERS).map { reportOf("other-$it") })
                    repeat(REPORTS) {
                        val requestedAt = currentTime
                        publisher.requestReportAndWait()
                        val waitedMilliseconds = currentTime - requestedAt
                        assertTrue(waitedMilliseconds <= LONGEST_WAIT_MILLISECONDS, "waited $waitedMilliseconds ms")
                    }
                    running.cancel()
                }
            }
        }

    private fun reportOf(name: String): KeyedRecord {
        val report = RouterReport(incarnation = "$name@1", epoch = 1, sequence = 1, epochMilliseconds = 1)
        return KeyedRecord(0, name, Json.encodeToString(RouterReport.serializer(), report).encodeToByteArray())
    }

    private fun publish(failingCall: Int) = runTest {
        val records = MemoryRecords()
        val store = MemoryRecordStore(records, Random(1), backgroundScope, faultProbability = 0.0)
        val publisher = publisherOf(FailingStore(store, failingCall), NoBudgets)
        val running = launch { publisher.run(onFenced = {}) }
        delay(2_000)
        assertTrue(publisher.isFenced)
        val reports = records.of(ReportPublisher.partition).size
        delay(1_000)
        assertTrue(records.of(ReportPublisher.partition).size > reports)
        assertEquals(false, publisher.isStoreUnresponsive())
        running.cancel()
    }

    private fun TestScope.clock() = MonotonicClock { MonotonicTime(currentTime) }

    private fun TestScope.publisherOf(
        store: RecordStore,
        budgets: BudgetReportSource,
        reports: PeerReports = PeerReports(self, clock(), DecisionLog(clock(), GatewayMetrics())),
    ): ReportPublisher {
        val clock = clock()
        val log = DecisionLog(clock, GatewayMetrics())
        return ReportPublisher(
            self = self,
            store = store,
            clock = clock,
            log = log,
            peerReports = reports,
            predecessorCharges = PredecessorCharges(self, Timestamp(1), NoWitnesses, log),
            wallClock = { Timestamp(1 + currentTime) },
            isLeaving = { false },
            peerAddress = null,
            witnesses = NoWitnesses,
        ).also { it.budgets = budgets }
    }

    /** Throws an exception in one call, as a fault in the client would. */
    private class FailingStore(private val store: RecordStore, private val failingCall: Int) : RecordStore by store {
        private var calls = 0

        override suspend fun newest(partition: StreamPartition): StreamRead = orFail { store.newest(partition) }

        override suspend fun append(
            partition: StreamPartition,
            records: List<NewRecord>,
            condition: AppendCondition,
        ): StreamAppend = orFail { store.append(partition, records, condition) }

        private inline fun <T> orFail(call: () -> T): T = if (++calls == failingCall) error("injected") else call()
    }

    private object NoWitnesses : WitnessService {
        override suspend fun storeCeilings(
            witness: WitnessReference,
            holder: String,
            ceilings: Map<String, Long>,
        ): Boolean = false

        override suspend fun closeCeilings(witness: WitnessReference, holder: String): Map<String, Long>? = null
    }

    private object NoBudgets : BudgetReportSource {
        override fun currentReports(): Map<CustomerId, BudgetReport> = emptyMap()

        override fun onProposed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime) = Unit

        override fun onConfirmed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime) = Unit

        override fun onWitnessed(reported: Map<CustomerId, BudgetReport>) = Unit
    }

    /** Records the reports that were confirmed although a later one had been sent. */
    private class LastReport : BudgetReportSource by NoBudgets {
        private var lastSentAt = MonotonicTime.distantPast
        val confirmedTooLate = mutableListOf<MonotonicTime>()

        override fun onProposed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime) {
            lastSentAt = sentAt
        }

        override fun onConfirmed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime) {
            if (sentAt < lastSentAt) confirmedTooLate += sentAt
        }
    }

    private companion object {
        const val SEEDS = 10
        const val STOPS = 200
        const val OTHER_ROUTERS = 82
        const val REPORTS = 20

        /** A tenth of the aim of 500 ms for a request that is of middle size. */
        const val LONGEST_WAIT_MILLISECONDS = 50L
        val self = Incarnation.of(InstanceId("router-1"), Timestamp(1))
        const val FAULTS = 0.2
        const val ANSWER_DELAY_MILLISECONDS = 100L

        /** Two reads and an append fence the predecessors; the next call publishes the first report. */
        const val CALLS = 4
    }
}
