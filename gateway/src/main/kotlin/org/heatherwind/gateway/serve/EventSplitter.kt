package org.heatherwind.gateway.serve

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** One complete event of a stream. [id] is its numeric ID, or null where it has none. */
internal class StreamEvent(val bytes: ByteBuf, val id: Long?)

/**
 * Splits a byte stream into complete events. As in the format of event streams, an event is a block of lines with data
 * that ends with an empty line; other blocks, as comments and empty lines, precede the next event. Partial events are
 * buffered.
 *
 * @param maximumEventBytes size above which a partial event is taken for bytes without end
 */
internal class EventSplitter(private val maximumEventBytes: Int = MAXIMUM_EVENT_BYTES) {
    private val buffer = Unpooled.buffer()

    /** Start of the first line in [buffer] that was not scanned completely. */
    private var unscannedLineStart = 0

    /** Whether the current block has a line with data. */
    private var hasData = false

    /** Whether the current block has a line other than comments. */
    private var hasField = false

    /** Whether the partial event exceeds the maximum size, so that the stream is not one of events. */
    val isOverflowing: Boolean get() = buffer.readableBytes() > maximumEventBytes

    /** Whether a line or an event has begun that is not complete. */
    val isWithinEvent: Boolean get() = hasField || unscannedLineStart < buffer.writerIndex()

    /** Adds [content], which it does not release, and returns the events that are now complete. */
    fun feed(content: ByteBuf): List<StreamEvent> {
        buffer.writeBytes(content)
        val events = mutableListOf<StreamEvent>()
        while (true) {
            val length = firstEventLength() ?: break
            val bytes = Unpooled.buffer(length).writeBytes(buffer, length)
            events += StreamEvent(bytes, idOf(bytes))
        }
        unscannedLineStart -= buffer.readerIndex()
        buffer.discardReadBytes()
        return events
    }

    /** Returns the bytes after the last complete event. */
    fun remainder(): ByteBuf = buffer

    private fun firstEventLength(): Int? {
        while (true) {
            val lineStart = unscannedLineStart
            val lineEnd = buffer.indexOf(lineStart, buffer.writerIndex(), LINE_FEED)
            if (lineEnd < 0) return null
            unscannedLineStart = lineEnd + 1
            if (endsEvent(lineStart, lineEnd)) return lineEnd + 1 - buffer.readerIndex()
        }
    }

    /** Takes the line from [start] to [end] into account. Returns whether it completes an event. */
    private fun endsEvent(start: Int, end: Int): Boolean {
        val length = if (end > start && buffer.getByte(end - 1) == CARRIAGE_RETURN) end - 1 - start else end - start
        if (length == 0) {
            val isEvent = hasData
            hasData = false
            hasField = false
            return isEvent
        }
        if (buffer.getByte(start) != COLON) hasField = true
        if (isData(start, length)) hasData = true
        return false
    }

    private fun isData(start: Int, length: Int): Boolean =
        length >= DATA_FIELD.size && DATA_FIELD.indices.all { buffer.getByte(start + it) == DATA_FIELD[it] } &&
            (length == DATA_FIELD.size || buffer.getByte(start + DATA_FIELD.size) == COLON)

    private fun idOf(event: ByteBuf): Long? = event.toString(Charsets.UTF_8).lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }?.substring(ID_FIELD.length)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        val DATA_FIELD = "data".encodeToByteArray()
        const val ID_FIELD = "id:"

        /** Many times the size of an event with several tokens. */
        const val MAXIMUM_EVENT_BYTES = 262_144
    }
}
