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

/** An in-memory log service with at most [maximumRetainedRecords] records per stream and simulated faults. */
public class MemoryLog(private val maximumRetainedRecords: Int = Int.MAX_VALUE) : LogService {
    private val streams = ConcurrentHashMap<String, MutableStateFlow<StreamContent>>()

    /** Faults to simulate. */
    @Volatile
    public var faults: LogFaults = LogFaults()

    override suspend fun append(stream: String, record: ByteArray): Either<LogFailure, Long> {
        val currentFaults = faults
        delay(currentFaults.delayMilliseconds)
        if (currentFaults.isOut) return unavailable
        val offset = streamOf(stream).appendWithRetention(record)
        return if (currentFaults.losesResponses) unavailable else offset.right()
    }

    override suspend fun read(
        stream: String,
        from: Long,
        limit: Int,
        waitMilliseconds: Long,
    ): Either<LogFailure, LogPage> {
        delay(faults.delayMilliseconds)
        if (faults.isOut) return unavailable
        val content = streamOf(stream)
        withTimeoutOrNull(waitMilliseconds) { content.first { it.end > from } }
        if (faults.isOut) return unavailable
        return content.value.page(from, limit)
    }

    /** Removes all records of [stream] before [offset], as if their retention had ended. */
    public fun expire(stream: String, offset: Long) {
        streamOf(stream).update { it.dropBefore(offset) }
    }

    private fun streamOf(stream: String) = streams.computeIfAbsent(stream) { MutableStateFlow(StreamContent()) }

    private fun MutableStateFlow<StreamContent>.appendWithRetention(record: ByteArray): Long {
        var offset = 0L
        update { content ->
            offset = content.end
            content.plus(record).dropBefore(content.end + 1 - maximumRetainedRecords)
        }
        return offset
    }

    private companion object {
        val unavailable: Either<LogFailure, Nothing> = LogFailure.Unavailable("simulated outage of the log").left()
    }
}
