package org.heatherwind.operator.demonstration

import arrow.core.Either
import arrow.core.left
import org.heatherwind.clients.log.LogFailure
import org.heatherwind.clients.log.LogPage
import org.heatherwind.clients.log.LogService

/** One router's connection to the log service, which can be partitioned. */
public class PartitionableLog(private val log: LogService) : LogService {
    /** Whether all calls fail. A read in progress fails when it returns; an append in progress does not. */
    @Volatile
    public var isPartitioned: Boolean = false

    override suspend fun append(stream: String, record: ByteArray): Either<LogFailure, Long> =
        if (isPartitioned) partitioned else log.append(stream, record)

    override suspend fun read(
        stream: String,
        from: Long,
        limit: Int,
        waitMilliseconds: Long,
    ): Either<LogFailure, LogPage> {
        if (isPartitioned) return partitioned
        val page = log.read(stream, from, limit, minOf(waitMilliseconds, MAXIMUM_WAIT_MILLISECONDS))
        return if (isPartitioned) partitioned else page
    }

    private companion object {
        // Limits long polls, so that a partition interrupts a waiting read within this time.
        const val MAXIMUM_WAIT_MILLISECONDS = 500L
        val partitioned: Either<LogFailure, Nothing> =
            LogFailure.Unavailable("the log service is unreachable because of a partition").left()
    }
}
