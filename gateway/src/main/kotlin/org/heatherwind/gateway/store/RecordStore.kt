package org.heatherwind.gateway.store

/** A partition of a stream of records in the store. */
public data class StreamPartition(val stream: String, val partition: Int = 0) {
    override fun toString(): String = "$stream/$partition"
}

/**
 * One record of a keyed stream.
 *
 * @property value the record's content, or null when the key was dropped
 */
public class KeyedRecord(public val offset: Long, public val key: String, public val value: ByteArray?)

/** What reading from an offset gave. */
public sealed interface StreamRead {
    /** [records] in order, the offset after the last one read, and that after the last one kept. */
    public class Records(
        public val records: List<KeyedRecord>,
        public val nextOffset: Long,
        public val endOffset: Long = nextOffset,
    ) : StreamRead

    /** The records at the offset have expired. */
    public data object Expired : StreamRead

    /** The store did not answer, or turned the call away. */
    public data class Unavailable(val reason: String) : StreamRead
}

/** A record to append. */
public class NewRecord(public val key: String, public val value: ByteArray)

/** When an append takes effect. */
public sealed interface AppendCondition {
    /** Only if the partition ends at [offset]. */
    public data class EndsAt(val offset: Long) : AppendCondition

    /**
     * Only as the next append of [producer]: [sequence] follows the last one, and no later [epoch] has begun. The same
     * append sent again takes effect once.
     */
    public data class NextOf(val producer: String, val epoch: Long, val sequence: Long) : AppendCondition
}

/** What an append did. */
public sealed interface StreamAppend {
    /** The record is kept; the partition now ends at [endOffset]. */
    public data class Appended(val endOffset: Long) : StreamAppend

    /** The condition did not hold; nothing was done. */
    public data object Conflict : StreamAppend

    /** The producer's next append must have the number [expected]; nothing was done. */
    public data class OutOfSequence(val expected: Long) : StreamAppend

    /** Nothing was done. */
    public data class Rejected(val reason: String) : StreamAppend

    /** No answer came: the record may be kept, now or some seconds later. */
    public data class Unknown(val reason: String) : StreamAppend
}

/** The store's keyed streams: records with offsets, of which the newest of each key is kept for good. */
public interface RecordStore {
    /** Records of [partition] from offset [from] on, as many as fit; none when none come within [waitMilliseconds]. */
    public suspend fun read(
        partition: StreamPartition,
        from: Long,
        waitMilliseconds: Long = 0,
        maximumKilobytes: Int = DEFAULT_READ_KILOBYTES,
    ): StreamRead

    /** The newest record of each key of [partition]. */
    public suspend fun newest(partition: StreamPartition): StreamRead

    /** Appends [records], all or none, as [condition] says. No records at all just bring the condition into force. */
    public suspend fun append(
        partition: StreamPartition,
        records: List<NewRecord>,
        condition: AppendCondition,
    ): StreamAppend

    public companion object {
        /** The store's own default. */
        public const val DEFAULT_READ_KILOBYTES: Int = 1_024
    }
}
