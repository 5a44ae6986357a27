package org.heatherwind.operator.demonstration

import arrow.core.Either
import arrow.core.left
import org.heatherwind.clients.log.LogFailure
import org.heatherwind.clients.log.LogPage
import org.heatherwind.clients.log.LogService

/** One router's way to the log service, which a partition can cut. */
public class CuttableLog(private val log: LogService) : LogService {
    /** Whether nothing passes. */
    @Volatile
    public var isCut: Boolean = false

    override suspend fun append(stream: String, record: ByteArray): Either<LogFailure, Long> =
        if (isCut) cut else log.append(stream, record)

    override suspend fun read(
        stream: String,
        from: Long,
        limit: Int,
        waitMilliseconds: Long,
    ): Either<LogFailure, LogPage> {
        if (isCut) return cut
        val page = log.read(stream, from, limit, minOf(waitMilliseconds, LONGEST_WAIT_MILLISECONDS))
        return if (isCut) cut else page
    }

    private companion object {
        const val LONGEST_WAIT_MILLISECONDS = 500L
        val cut: Either<LogFailure, Nothing> = LogFailure.Unavailable("the way to the log is cut").left()
    }
}
