package org.heatherwind.gateway.store

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given a store, when a router calls it, then the call is counted once, with its purpose, outcome and size. */
class CountingRecordStoreTest {
    private class Case(val name: String, val expected: StoreCall, val call: suspend (RecordStore) -> Unit)

    private val cases = listOf(
        Case("a read", StoreCall(StoreCallPurpose.LEDGER_READ, StoreCallOutcome.DONE, CONTENT.size)) {
            it.read(partition, from = 0)
        },
        Case("a read of the newest records", StoreCall(StoreCallPurpose.LEDGER_READ, StoreCallOutcome.FAILED, 0)) {
            it.newest(partition)
        },
        Case("an append", StoreCall(StoreCallPurpose.LEDGER_APPEND, StoreCallOutcome.DONE, CONTENT.size)) {
            it.append(partition, listOf(NewRecord("studio", CONTENT)), AppendCondition.EndsAt(1))
        },
        Case("a conflict", StoreCall(StoreCallPurpose.LEDGER_APPEND, StoreCallOutcome.CONFLICT, 0)) {
            it.append(partition, emptyList(), AppendCondition.EndsAt(0))
        },
    )

    @TestFactory
    fun `each call is counted once`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            runTest {
                val calls = mutableListOf<StoreCall>()
                val store = CountingRecordStore(
                    store = EndingAtOne,
                    purposeOfRead = { StoreCallPurpose.LEDGER_READ },
                    purposeOfAppend = { StoreCallPurpose.LEDGER_APPEND },
                    onCall = { calls += it },
                )
                case.call(store)
                assertEquals(listOf(case.expected), calls)
            }
        }
    }

    /** A store with one record, whose newest records cannot be read. */
    private object EndingAtOne : RecordStore {
        override suspend fun read(
            partition: StreamPartition,
            from: Long,
            waitMilliseconds: Long,
            maximumKilobytes: Int,
        ): StreamRead = StreamRead.Records(listOf(KeyedRecord(0, "studio", CONTENT)), nextOffset = 1)

        override suspend fun newest(partition: StreamPartition): StreamRead = StreamRead.Unavailable("cut")

        override suspend fun append(
            partition: StreamPartition,
            records: List<NewRecord>,
            condition: AppendCondition,
        ): StreamAppend =
            if (condition == AppendCondition.EndsAt(1)) StreamAppend.Appended(2) else StreamAppend.Conflict
    }

    private companion object {
        val partition = StreamPartition("budgets")
        val CONTENT = byteArrayOf(1, 2, 3)
    }
}
