package org.heatherwind.standins.log

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.clients.log.LogEntry
import org.heatherwind.clients.log.LogFailure
import org.heatherwind.clients.log.LogPage

/** Immutable view of the retained records of one stream; the first is at offset [oldest]. */
internal class StreamContent(
    val oldest: Long = 0,
    private val records: PersistentList<ByteArray> = persistentListOf(),
) {
    val end: Long get() = oldest + records.size

    fun plus(record: ByteArray) = StreamContent(oldest, records.add(record))

    fun dropBefore(offset: Long): StreamContent {
        val dropped = (offset - oldest).coerceIn(0, records.size.toLong()).toInt()
        return if (dropped == 0) this else StreamContent(oldest + dropped, records.dropFirst(dropped))
    }

    fun page(from: Long, limit: Int): Either<LogFailure, LogPage> {
        if (from < oldest) return LogFailure.OffsetExpired(oldest).left()
        val first = (from - oldest).coerceAtMost(records.size.toLong()).toInt()
        val last = minOf(first + limit, records.size)
        val entries = records.subList(first, last).mapIndexed { index, record -> LogEntry(from + index, record) }
        return LogPage(entries, oldest, end).right()
    }

    private fun PersistentList<ByteArray>.dropFirst(count: Int): PersistentList<ByteArray> =
        if (count == 1) removeAt(0) else persistentListOf<ByteArray>().addAll(subList(count, size))
}
