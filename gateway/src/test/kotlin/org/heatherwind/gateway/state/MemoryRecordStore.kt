package org.heatherwind.gateway.state

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StoreEra
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import kotlin.random.Random

/** The records of an in-memory store that all routers of a test share. */
internal class MemoryRecords {
    private val partitions = HashMap<StreamPartition, MutableList<NewRecord>>()
    private val producers = HashMap<Pair<StreamPartition, String>, Producer>()
    private var copiedPartitions = emptyMap<StreamPartition, List<NewRecord>>()
    private var copiedProducers = emptyMap<Pair<StreamPartition, String>, Pair<Long, Long>>()

    /** Rises with each [restore]. */
    var era = StoreEra.Numbered(1)
        private set

    /** Remembers all records, for [restore]. */
    fun copy() {
        copiedPartitions = partitions.mapValues { it.value.toList() }
        copiedProducers = producers.mapValues { it.value.epoch to it.value.sequence }
    }

    /** Comes back from the last copy. */
    fun restore() {
        partitions.clear()
        copiedPartitions.forEach { (partition, records) -> partitions[partition] = records.toMutableList() }
        producers.clear()
        copiedProducers.forEach { (key, state) ->
            producers[key] = Producer().apply {
                epoch = state.first
                sequence = state.second
            }
        }
        era = StoreEra.Numbered(era.number + 1)
    }

    fun of(partition: StreamPartition): MutableList<NewRecord> = partitions.getOrPut(partition) { mutableListOf() }

    fun append(partition: StreamPartition, records: List<NewRecord>, condition: AppendCondition): StreamAppend {
        val stored = of(partition)
        when (condition) {
            is AppendCondition.EndsAt -> if (stored.size.toLong() != condition.offset) return StreamAppend.Conflict

            is AppendCondition.NextOf -> {
                val producer = producers.getOrPut(partition to condition.producer) { Producer() }
                if (condition.epoch < producer.epoch) return StreamAppend.Conflict
                if (condition.epoch == producer.epoch) {
                    if (condition.sequence == producer.sequence) return StreamAppend.Appended(stored.size.toLong(), era)
                    if (condition.sequence != producer.sequence + 1) {
                        return StreamAppend.OutOfSequence(producer.sequence + 1)
                    }
                }
                producer.epoch = condition.epoch
                producer.sequence = condition.sequence
            }
        }
        stored += records
        return StreamAppend.Appended(stored.size.toLong(), era)
    }

    private class Producer {
        var epoch = -1L
        var sequence = -1L
    }
}

/**
 * One router's client of the in-memory store, with seeded faults: rejected calls, lost responses, appends that take
 * effect later, and answers that are up to [maximumAnswerDelayMilliseconds] late and overtake each other.
 */
internal class MemoryRecordStore(
    private val records: MemoryRecords,
    private val random: Random,
    private val scope: CoroutineScope,
    private val faultProbability: Double,
    private val maximumAnswerDelayMilliseconds: Long = 0,
) : RecordStore {
    /** Whether all calls fail because the connection to the store is interrupted. */
    var isDisconnected = false

    override suspend fun read(
        partition: StreamPartition,
        from: Long,
        waitMilliseconds: Long,
        maximumKilobytes: Int,
    ): StreamRead = readNow(partition, from).also { awaitAnswer() }

    private suspend fun readNow(partition: StreamPartition, from: Long): StreamRead {
        delay(LATENCY_MILLISECONDS + random.nextLong(LATENCY_MILLISECONDS))
        awaitConnection()
        if (isDisconnected || random.nextDouble() < faultProbability) return unavailable()
        val stored = records.of(partition)
        if (from > stored.size) return StreamRead.Expired
        return StreamRead.Records(
            stored.drop(from.toInt()).mapIndexed { index, record ->
                KeyedRecord(from + index, record.key, record.value)
            },
            stored.size.toLong(),
            era = records.era,
        )
    }

    override suspend fun newest(partition: StreamPartition): StreamRead = newestNow(partition).also { awaitAnswer() }

    private suspend fun newestNow(partition: StreamPartition): StreamRead {
        delay(LATENCY_MILLISECONDS + random.nextLong(LATENCY_MILLISECONDS))
        awaitConnection()
        if (isDisconnected || random.nextDouble() < faultProbability) return unavailable()
        val stored = records.of(partition)
        val latest = LinkedHashMap<String, KeyedRecord>()
        stored.forEachIndexed { offset, record ->
            latest[record.key] =
                KeyedRecord(offset.toLong(), record.key, record.value)
        }
        return StreamRead.Records(latest.values.toList(), stored.size.toLong(), era = records.era)
    }

    override suspend fun append(
        partition: StreamPartition,
        records: List<NewRecord>,
        condition: AppendCondition,
    ): StreamAppend = appendNow(partition, records, condition).also { awaitAnswer() }

    private suspend fun appendNow(
        partition: StreamPartition,
        records: List<NewRecord>,
        condition: AppendCondition,
    ): StreamAppend {
        delay(LATENCY_MILLISECONDS + random.nextLong(LATENCY_MILLISECONDS))
        awaitConnection()
        if (isDisconnected) return StreamAppend.Unknown("cut")
        val chance = random.nextDouble()
        return when {
            chance < faultProbability / 3 -> StreamAppend.Rejected("busy")

            chance < faultProbability * 2 / 3 -> {
                this.records.append(partition, records, condition)
                StreamAppend.Unknown("the response was lost")
            }

            chance < faultProbability -> {
                scope.launch {
                    delay(random.nextLong(MAXIMUM_APPEND_DELAY_MILLISECONDS))
                    this@MemoryRecordStore.records.append(partition, records, condition)
                }
                StreamAppend.Unknown("the append takes effect later")
            }

            else -> this.records.append(partition, records, condition)
        }
    }

    private suspend fun awaitAnswer() {
        if (maximumAnswerDelayMilliseconds > 0) delay(random.nextLong(maximumAnswerDelayMilliseconds))
    }

    /** A call in a partition hangs until the partition ends, when its bytes are sent again, or until its timeout. */
    private suspend fun awaitConnection() {
        repeat((TIMEOUT_MILLISECONDS / RETRANSMISSION_MILLISECONDS).toInt()) {
            if (!isDisconnected) return
            delay(RETRANSMISSION_MILLISECONDS)
        }
    }

    private fun unavailable() = StreamRead.Unavailable("no response")

    private companion object {
        const val LATENCY_MILLISECONDS = 4L
        const val TIMEOUT_MILLISECONDS = 900L
        const val RETRANSMISSION_MILLISECONDS = 20L
        const val MAXIMUM_APPEND_DELAY_MILLISECONDS = 6_000L
    }
}
