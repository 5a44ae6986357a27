package org.heatherwind.gateway.store

/** A partition of a stream of records in the store. */
public data class StreamPartition(val stream: String, val partition: Int = 0) {
    override fun toString(): String = "$stream/$partition"
}

/**
 * One record of a keyed stream.
 *
 * @property offset position of the record in its partition
 * @property value the record's content, or null if the key was deleted
 */
public class KeyedRecord(public val offset: Long, public val key: String, public val value: ByteArray?)

/** The outcome of a read. */
public sealed interface StreamRead {
    /**
     * The records that were read.
     *
     * @property records the records in the order of their offsets
     * @property nextOffset the offset after the last record read
     * @property endOffset the offset after the last record in the partition
     * @property era the era of the offsets
     */
    public class Records(
        public val records: List<KeyedRecord>,
        public val nextOffset: Long,
        public val endOffset: Long = nextOffset,
        public val era: StoreEra = StoreEra.Unstated,
    ) : StreamRead

    /** The records at the requested offset have expired, or the partition ends before it in the store's present era. */
    public data object Expired : StreamRead

    /** The store did not respond within the timeout, or rejected the call. */
    public data class Unavailable(val reason: String) : StreamRead
}

/** A record to append. */
public class NewRecord(public val key: String, public val value: ByteArray)

/** The condition under which an append takes effect. */
public sealed interface AppendCondition {
    /** Only if the partition ends at [offset]. */
    public data class EndsAt(val offset: Long) : AppendCondition

    /**
     * Only as the next append of [producer]: [sequence] follows the last one, and no later [epoch] has begun. The same
     * append sent again takes effect once.
     */
    public data class NextOf(val producer: String, val epoch: Long, val sequence: Long) : AppendCondition
}

/** The outcome of an append. */
public sealed interface StreamAppend {
    /** The records are stored; the partition now ends at [endOffset], an offset of [era]. */
    public data class Appended(val endOffset: Long, val era: StoreEra = StoreEra.Unstated) : StreamAppend

    /** The condition did not hold; nothing was stored. */
    public data object Conflict : StreamAppend

    /** The producer's next append must have the sequence number [expected]; nothing was stored. */
    public data class OutOfSequence(val expected: Long) : StreamAppend

    /** The store rejected the call; nothing was stored. */
    public data class Rejected(val reason: String) : StreamAppend

    /** There was no response: the records may be stored, now or some seconds later. */
    public data class Unknown(val reason: String) : StreamAppend
}

/** Keyed streams of records with offsets. The newest record of each key never expires. */
public interface RecordStore {
    /**
     * Reads records of [partition] from the offset [from] on, up to about [maximumKilobytes]. If there is none, waits
     * for one for up to [waitMilliseconds] and then returns an empty list.
     */
    public suspend fun read(
        partition: StreamPartition,
        from: Long,
        waitMilliseconds: Long = 0,
        maximumKilobytes: Int = DEFAULT_READ_KILOBYTES,
    ): StreamRead

    /** Reads the newest record of each key of [partition]. */
    public suspend fun newest(partition: StreamPartition): StreamRead

    /**
     * Appends all of [records] if [condition] holds, otherwise none. An empty list stores no records and only
     * applies the condition, for example to begin a new epoch of a producer.
     */
    public suspend fun append(
        partition: StreamPartition,
        records: List<NewRecord>,
        condition: AppendCondition,
    ): StreamAppend

    public companion object {
        /** Size limit of a read; the same as the store's own default. */
        public const val DEFAULT_READ_KILOBYTES: Int = 1_024
    }
}
