package org.heatherwind.standins.log

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.clients.log.LogEntry
import org.heatherwind.clients.log.LogFailure
import org.heatherwind.clients.log.LogPage
import org.heatherwind.clients.log.LogService
import java.util.concurrent.ConcurrentHashMap

/** A log service in memory, with limited retention and faults. Appends of a stream are kept in one order. */
public class MemoryLog(private val keptRecords: Int = Int.MAX_VALUE) : LogService {
    private val streams = ConcurrentHashMap<String, MutableStateFlow<StreamContent>>()

    /** The present faults. */
    @Volatile
    public var faults: LogFaults = LogFaults()

    override suspend fun append(stream: String, record: ByteArray): Either<LogFailure, Long> {
        val present = faults
        delay(present.delayMilliseconds)
        if (present.isOut) return outage
        val offset = streamOf(stream).appendBounded(record)
        return if (present.losesAnswers) outage else offset.right()
    }

    override suspend fun read(
        stream: String,
        from: Long,
        limit: Int,
        waitMilliseconds: Long,
    ): Either<LogFailure, LogPage> {
        delay(faults.delayMilliseconds)
        if (faults.isOut) return outage
        val content = streamOf(stream)
        withTimeoutOrNull(waitMilliseconds) { content.first { it.end > from } }
        if (faults.isOut) return outage
        return content.value.page(from, limit)
    }

    /** Drops all records of [stream] before [offset], as the end of their retention would. */
    public fun expire(stream: String, offset: Long) {
        streamOf(stream).update { it.withoutBefore(offset) }
    }

    private fun streamOf(stream: String) = streams.computeIfAbsent(stream) { MutableStateFlow(StreamContent()) }

    private fun MutableStateFlow<StreamContent>.appendBounded(record: ByteArray): Long {
        var offset = 0L
        update { content ->
            offset = content.end
            content.plus(record).withoutBefore(content.end + 1 - keptRecords)
        }
        return offset
    }

    private companion object {
        val outage: Either<LogFailure, Nothing> = LogFailure.Unavailable("the log stand-in is out").left()
    }
}
