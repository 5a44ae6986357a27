package org.heatherwind.clients.log

import arrow.core.Either

/** The platform's append-only log service. Offsets of a stream count from 0 without gaps. */
public interface LogService {
    /** Appends [record] to [stream] and returns its offset. A failure does not say that nothing was appended. */
    public suspend fun append(stream: String, record: ByteArray): Either<LogFailure, Long>

    /**
     * Reads records of [stream] from offset [from] on, at most [limit] of them. When there is none yet, waits up to
     * [waitMilliseconds] for one.
     */
    public suspend fun read(
        stream: String,
        from: Long,
        limit: Int,
        waitMilliseconds: Long,
    ): Either<LogFailure, LogPage>
}

/** Records read, in order, with the oldest offset still kept and the offset after the newest. */
public data class LogPage(val records: List<LogEntry>, val oldest: Long, val end: Long)

/** One record at its offset. */
public class LogEntry(public val offset: Long, public val record: ByteArray)

/** Why the log service did not do as asked. */
public sealed interface LogFailure {
    /** It did not answer, or answered with an error; an append may have taken effect. */
    public data class Unavailable(val detail: String) : LogFailure

    /** The offset asked for is no longer kept; [oldest] is. */
    public data class OffsetGone(val oldest: Long) : LogFailure
}
