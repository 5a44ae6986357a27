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
    /** [records] in order, and the offset after the last one read. */
    public class Records(public val records: List<KeyedRecord>, public val nextOffset: Long) : StreamRead

    /** The records at the offset have expired. */
    public data object Expired : StreamRead

    /** The store did not answer, or turned the call away. */
    public data class Unavailable(val reason: String) : StreamRead
}

/** What an append did. */
public sealed interface StreamAppend {
    /** The record is kept; the partition now ends at [endOffset]. */
    public data class Appended(val endOffset: Long) : StreamAppend

    /** The partition did not end at the expected offset; nothing was done. */
    public data object Conflict : StreamAppend

    /** Nothing was done. */
    public data class Rejected(val reason: String) : StreamAppend

    /** No answer came: the record may be kept, now or some seconds later. */
    public data class Unknown(val reason: String) : StreamAppend
}

/** The store's keyed streams: records with offsets, of which the newest of each key is kept for good. */
public interface RecordStore {
    /** Records of [partition] from offset [from] on; empty when none come within [waitMilliseconds]. */
    public suspend fun read(partition: StreamPartition, from: Long, waitMilliseconds: Long = 0): StreamRead

    /** The newest record of each key of [partition]. */
    public suspend fun newest(partition: StreamPartition): StreamRead

    /** Appends [value] under [key], only if the partition ends at [expectedEnd] where that is given. */
    public suspend fun append(
        partition: StreamPartition,
        key: String,
        value: ByteArray,
        expectedEnd: Long? = null,
    ): StreamAppend
}
