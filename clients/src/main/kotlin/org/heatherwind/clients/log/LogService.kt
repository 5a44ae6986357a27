package org.heatherwind.clients.log

import arrow.core.Either

/** The platform's append-only log service. Offsets of a stream start at 0 and have no gaps. */
public interface LogService {
    /** Appends [record] to [stream] and returns its offset. After a failure, the record may have been appended. */
    public suspend fun append(stream: String, record: ByteArray): Either<LogFailure, Long>

    /**
     * Reads records of [stream] from offset [from] on, at most [limit] of them. If none exists yet, waits up to
     * [waitMilliseconds] for one.
     */
    public suspend fun read(
        stream: String,
        from: Long,
        limit: Int,
        waitMilliseconds: Long,
    ): Either<LogFailure, LogPage>
}

/** Records in order of offset, with the oldest retained offset and the offset after the newest. */
public data class LogPage(val records: List<LogEntry>, val oldestOffset: Long, val endOffset: Long)

/** One record at its offset. */
public class LogEntry(public val offset: Long, public val record: ByteArray)

/** Reasons why a call to the log service failed. */
public sealed interface LogFailure {
    /** No response within the timeout, or an error response. An append may have taken effect. */
    public data class Unavailable(val detail: String) : LogFailure

    /** The requested offset is no longer retained; [oldest] is the oldest one that is. */
    public data class OffsetExpired(val oldest: Long) : LogFailure
}
