package org.heatherwind.gateway.state

import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import kotlin.random.Random

/**
 * One partition of a store whose keys can be deleted and whose history expires. A read of the smallest size returns one
 * record. The newest records may be newer than the end offset that is returned with them.
 */
internal class KeyedLogStandIn(private val random: Random) : RecordStore {
    private val records = mutableListOf<KeyedRecord>()
    private var firstOffset = 0L

    /** Whether calls succeed. */
    var isReachable = true

    /** Whether the last read returned all that is stored. */
    var isReadToEnd = false
        private set

    /** Appends a record of [key], or deletes the key if [value] is null. */
    fun put(key: String, value: String?) {
        records += KeyedRecord(records.size.toLong(), key, value?.encodeToByteArray())
    }

    /** Expires all records for reads by offset. */
    fun expireHistory() {
        firstOffset = records.size.toLong()
    }

    /** Returns what follows [prefix] in the keys that exist. */
    fun keys(prefix: String): Set<String> = newestRecords().filter { it.key.startsWith(prefix) }
        .mapTo(HashSet()) { it.key.removePrefix(prefix) }

    override suspend fun read(
        partition: StreamPartition,
        from: Long,
        waitMilliseconds: Long,
        maximumKilobytes: Int,
    ): StreamRead {
        isReadToEnd = false
        if (!isReachable) return StreamRead.Unavailable("out of reach")
        if (from < firstOffset) return StreamRead.Expired
        val added = records.drop(from.toInt()).let { if (maximumKilobytes == 1) it.take(1) else it }
        isReadToEnd = from + added.size == records.size.toLong()
        return StreamRead.Records(added, from + added.size, records.size.toLong())
    }

    override suspend fun newest(partition: StreamPartition): StreamRead {
        isReadToEnd = isReachable
        if (!isReachable) return StreamRead.Unavailable("out of reach")
        val isEndOlder = random.nextBoolean() && firstOffset < records.size
        return StreamRead.Records(newestRecords(), records.size.toLong() - if (isEndOlder) 1 else 0)
    }

    private fun newestRecords(): List<KeyedRecord> = records.associateBy { it.key }.values.filter { it.value != null }

    override suspend fun append(
        partition: StreamPartition,
        records: List<NewRecord>,
        condition: AppendCondition,
    ): StreamAppend = error("operators' records are not written by routers")
}
