package org.heatherwind.gateway.state

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
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
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given plans in quick succession on a slow link, when a follower reads, then it has the newest without all others. */
@OptIn(ExperimentalCoroutinesApi::class)
class StreamFollowerTest {
    private class Case(val name: String, val added: List<String>, val newest: Map<String, String>, val mostRead: Int)

    private val cases = listOf(
        Case("one change", listOf("config=2"), mapOf("config" to "2"), mostRead = 1),
        Case("a storm of changes", (2..40).map { "config=$it" }, mapOf("config" to "40"), mostRead = 2),
        Case(
            "changes of two keys, the other one last",
            listOf("config=2", "config=3", "config=4", "rollout=1"),
            mapOf("config" to "4", "rollout" to "1"),
            mostRead = 4,
        ),
        Case(
            "changes of two keys, the other one first",
            listOf("rollout=1", "config=2", "config=3"),
            mapOf("config" to "3", "rollout" to "1"),
            mostRead = 4,
        ),
    )

    @TestFactory
    fun `the newest records arrive`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            runTest {
                val store = ListStore(mutableListOf("config" to "1"))
                val seen = LinkedHashMap<String, String>()
                val clock = MonotonicClock { MonotonicTime(currentTime) }
                val follower = StreamFollower(
                    store = store,
                    partition = StreamPartition("plans"),
                    pace = { PollingPolicy(waitMilliseconds = 0, pauseMilliseconds = 100, isSkipping = true) },
                    clock = clock,
                    log = DecisionLog(clock, GatewayMetrics()),
                    subscriber = Recorder(seen),
                )
                follower.step()
                store.kept += case.added.map { it.substringBefore('=') to it.substringAfter('=') }
                store.recordsRead = 0
                follower.step()
                assertEquals(case.newest, seen)
                assertTrue(store.recordsRead <= case.mostRead, "${store.recordsRead} records were read")
            }
        }
    }

    private class Recorder(private val seen: MutableMap<String, String>) : StreamSubscriber {
        override fun onSnapshot(records: List<KeyedRecord>) = onRecords(records)

        override fun onRecords(records: List<KeyedRecord>) {
            records.forEach { seen[it.key] = it.value?.decodeToString().orEmpty() }
        }

        override fun onCurrent(now: MonotonicTime, isRegained: Boolean) = Unit
    }

    /** Answers a read of the smallest size with one record, as the platform's store does. */
    private class ListStore(val kept: MutableList<Pair<String, String>>) : RecordStore {
        var recordsRead = 0

        override suspend fun read(
            partition: StreamPartition,
            from: Long,
            waitMilliseconds: Long,
            maximumKilobytes: Int,
        ): StreamRead {
            val all = kept.drop(from.toInt()).mapIndexed { index, (key, value) -> record(from + index, key, value) }
            val read = if (maximumKilobytes == 1) all.take(1) else all
            recordsRead += read.size
            return StreamRead.Records(read, from + read.size, kept.size.toLong())
        }

        override suspend fun newest(partition: StreamPartition): StreamRead {
            val latest = kept.withIndex().associate { (offset, pair) -> pair.first to record(offset.toLong(), pair) }
            recordsRead += latest.size
            return StreamRead.Records(latest.values.toList(), kept.size.toLong())
        }

        override suspend fun append(
            partition: StreamPartition,
            records: List<NewRecord>,
            condition: AppendCondition,
        ): StreamAppend = error("a follower appends nothing")

        private fun record(offset: Long, pair: Pair<String, String>) = record(offset, pair.first, pair.second)

        private fun record(offset: Long, key: String, value: String) =
            KeyedRecord(offset, key, value.encodeToByteArray())
    }
}
