package org.heatherwind.gateway.state

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StoreEra
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Given large records that are replaced at short intervals, when a follower polls, then it receives the newest record
 * of each key without reading all the replaced ones, which would saturate a slow link.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class StreamFollowerTest {
    private class Case(
        val name: String,
        val added: List<String>,
        val newest: Map<String, String>,
        val maximumRecordsRead: Int,
    )

    private val cases = listOf(
        Case("one change", listOf("config=2"), mapOf("config" to "2"), maximumRecordsRead = 1),
        Case("many changes of one key", (2..40).map { "config=$it" }, mapOf("config" to "40"), maximumRecordsRead = 2),
        Case(
            "changes of two keys, the other one last",
            listOf("config=2", "config=3", "config=4", "rollout=1"),
            mapOf("config" to "4", "rollout" to "1"),
            maximumRecordsRead = 4,
        ),
        Case(
            "changes of two keys, the other one first",
            listOf("rollout=1", "config=2", "config=3"),
            mapOf("config" to "3", "rollout" to "1"),
            maximumRecordsRead = 4,
        ),
        // Guards against the loss of an order for a roll-out that was written between changes of the configuration.
        Case(
            "changes of two keys, the other one neither first nor last",
            listOf("config=2", "rollout=1", "config=3"),
            mapOf("config" to "3", "rollout" to "1"),
            maximumRecordsRead = 4,
        ),
    )

    @TestFactory
    fun `given added records when the follower polls then it receives the newest of each key`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                runTest {
                    val store = ListStore(mutableListOf("config" to "1"))
                    val received = LinkedHashMap<String, String>()
                    val clock = MonotonicClock { MonotonicTime(currentTime) }
                    val follower = StreamFollower(
                        store = store,
                        partition = StreamPartition("plans"),
                        pollingPolicy = {
                            PollingPolicy(waitMilliseconds = 0, pauseMilliseconds = 100, isSkippingReplaced = true)
                        },
                        clock = clock,
                        log = DecisionLog(clock, GatewayMetrics()),
                        subscriber = Recorder(received),
                    )
                    follower.poll()
                    store.stored += case.added.map { it.substringBefore('=') to it.substringAfter('=') }
                    store.recordsRead = 0
                    follower.poll()
                    assertEquals(case.newest, received)
                    assertTrue(
                        store.recordsRead <= case.maximumRecordsRead,
                        "${store.recordsRead} records were read, at most ${case.maximumRecordsRead} expected",
                    )
                }
            }
        }

    // Guards against one record that ends the reading of its partition or hides the records read with it.
    @TestFactory
    fun `given a subscriber that fails on a record when polled then the other records and later ones arrive`() =
        failures.flatMap { failure -> listOf(failure to true, failure to false) }.map { (failure, isInSnapshot) ->
            val place = if (isInSnapshot) "in the snapshot" else "in the records after it"
            DynamicTest.dynamicTest("${failure.javaClass.simpleName} $place") {
                runTest {
                    val bad = listOf("a" to "1", "bad" to "1", "b" to "1")
                    val store = ListStore(if (isInSnapshot) bad.toMutableList() else mutableListOf())
                    val received = LinkedHashMap<String, String>()
                    val clock = MonotonicClock { MonotonicTime(currentTime) }
                    val follower = StreamFollower(
                        store = store,
                        partition = StreamPartition("targets"),
                        pollingPolicy = { PollingPolicy(waitMilliseconds = 0, pauseMilliseconds = 100) },
                        clock = clock,
                        log = DecisionLog(clock, GatewayMetrics()),
                        subscriber = Recorder(received, failingKey = "bad", failure),
                    )
                    backgroundScope.launch { follower.run() }
                    testScheduler.advanceTimeBy(1_000)
                    if (!isInSnapshot) store.stored += bad
                    testScheduler.advanceTimeBy(1_000)
                    store.stored += "c" to "1"
                    testScheduler.advanceTimeBy(1_000)
                    assertEquals(mapOf("a" to "1", "b" to "1", "c" to "1"), received)
                }
            }
        }

    private val failures = listOf(
        IllegalArgumentException("odd response"),
        IllegalStateException("odd state"),
        StackOverflowError(),
        NoClassDefFoundError("Could not initialize class"),
    )

    // Guards against a failure of the store's client that ends the reading of a partition.
    @TestFactory
    fun `given a read that fails when polled again then the records arrive`(): List<DynamicTest> =
        failures.map { failure ->
            DynamicTest.dynamicTest(failure.javaClass.simpleName) {
                runTest {
                    val store = ListStore(mutableListOf("a" to "1"))
                    val received = LinkedHashMap<String, String>()
                    val clock = MonotonicClock { MonotonicTime(currentTime) }
                    val follower = StreamFollower(
                        store = store,
                        partition = StreamPartition("targets"),
                        pollingPolicy = { PollingPolicy(waitMilliseconds = 0, pauseMilliseconds = 100) },
                        clock = clock,
                        log = DecisionLog(clock, GatewayMetrics()),
                        subscriber = Recorder(received),
                    )
                    store.failure = failure
                    backgroundScope.launch { follower.run() }
                    testScheduler.advanceTimeBy(1_000)
                    store.failure = null
                    testScheduler.advanceTimeBy(1_000)
                    assertEquals(mapOf("a" to "1"), received)
                }
            }
        }

    private class EraCase(val name: String, val known: StoreEra, val next: StoreEra, val isRestored: Boolean)

    private val eraCases = listOf(
        EraCase("the same", StoreEra.Numbered(1), StoreEra.Numbered(1), isRestored = false),
        EraCase("never stated", StoreEra.Unstated, StoreEra.Unstated, isRestored = false),
        EraCase("the next", StoreEra.Numbered(1), StoreEra.Numbered(2), isRestored = true),
        EraCase("after the next", StoreEra.Numbered(1), StoreEra.Numbered(3), isRestored = true),
        EraCase("lower than the known one", StoreEra.Numbered(2), StoreEra.Numbered(1), isRestored = true),
        EraCase("no longer stated", StoreEra.Numbered(1), StoreEra.Unstated, isRestored = true),
        EraCase("stated from now on", StoreEra.Unstated, StoreEra.Numbered(1), isRestored = true),
    )

    // Guards against records that are never read because offsets are given out again, whatever era the store states.
    @TestFactory
    fun `given offsets of another era when polled then the newest records are read again`(): List<DynamicTest> =
        eraCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                runTest {
                    val store = ListStore(mutableListOf("a" to "1", "b" to "1"))
                    store.era = case.known
                    val received = LinkedHashMap<String, String>()
                    val recorder = Recorder(received)
                    val clock = MonotonicClock { MonotonicTime(currentTime) }
                    val follower = StreamFollower(
                        store = store,
                        partition = StreamPartition("targets"),
                        pollingPolicy = { PollingPolicy(waitMilliseconds = 0, pauseMilliseconds = 100) },
                        clock = clock,
                        log = DecisionLog(clock, GatewayMetrics()),
                        subscriber = recorder,
                    )
                    follower.poll()
                    store.era = case.next
                    if (case.isRestored) store.stored[0] = "a" to "2"
                    follower.poll()
                    assertEquals(mapOf("a" to if (case.isRestored) "2" else "1", "b" to "1"), received)
                    assertEquals(if (case.isRestored) 1 else 0, recorder.restores)
                    store.stored += "c" to "1"
                    follower.poll()
                    assertEquals("1", received["c"])
                    assertEquals(if (case.isRestored) 1 else 0, recorder.restores)
                }
            }
        }

    private class Recorder(
        private val received: MutableMap<String, String>,
        private val failingKey: String? = null,
        private val failure: Throwable? = null,
    ) : StreamSubscriber {
        var restores = 0

        override fun onSnapshot(records: List<KeyedRecord>) = onRecords(records)

        override fun onRestored(now: MonotonicTime) {
            restores++
        }

        override fun onRecords(records: List<KeyedRecord>) {
            records.forEach {
                if (it.key == failingKey && failure != null) throw failure
                received[it.key] = it.value?.decodeToString().orEmpty()
            }
        }

        override fun onCurrent(now: MonotonicTime, isReconnected: Boolean) = Unit
    }

    /** Returns one record for a read of the smallest size, as the platform's store does. */
    private class ListStore(val stored: MutableList<Pair<String, String>>) : RecordStore {
        var recordsRead = 0
        var failure: Throwable? = null
        var era: StoreEra = StoreEra.Unstated

        override suspend fun read(
            partition: StreamPartition,
            from: Long,
            waitMilliseconds: Long,
            maximumKilobytes: Int,
        ): StreamRead {
            failure?.let { throw it }
            val all = stored.drop(from.toInt()).mapIndexed { index, (key, value) -> record(from + index, key, value) }
            val read = if (maximumKilobytes == 1) all.take(1) else all
            recordsRead += read.size
            return StreamRead.Records(read, from + read.size, stored.size.toLong(), era)
        }

        override suspend fun newest(partition: StreamPartition): StreamRead {
            failure?.let { throw it }
            val latest = stored.withIndex().associate { (offset, pair) -> pair.first to record(offset.toLong(), pair) }
            recordsRead += latest.size
            return StreamRead.Records(latest.values.toList(), stored.size.toLong(), era = era)
        }

        override suspend fun append(
            partition: StreamPartition,
            records: List<NewRecord>,
            condition: AppendCondition,
        ): StreamAppend = error("a follower must not append records")

        private fun record(offset: Long, pair: Pair<String, String>) = record(offset, pair.first, pair.second)

        private fun record(offset: Long, key: String, value: String) =
            KeyedRecord(offset, key, value.encodeToByteArray())
    }
}
