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

    /** Start of the first line in [buffer] whose end has not arrived. */
    private var lineStart = 0

    /** Position in [buffer] up to which that line was scanned, so that no byte is scanned again. */
    private var scannedTo = 0

    /** Whether the current block has a line with data. */
    private var hasData = false

    /** Whether the current block has a line other than comments. */
    private var hasField = false

    /** Bytes that were scanned for ends of lines. */
    var scannedBytes = 0L
        private set

    /** Whether the partial event exceeds the maximum size, so that the stream is not one of events. */
    val isOverflowing: Boolean get() = buffer.readableBytes() > maximumEventBytes

    /** Whether a line or an event has begun that is not complete. */
    val isWithinEvent: Boolean get() = hasField || lineStart < buffer.writerIndex()

    /** Adds [content], which it does not release, and returns the events that are now complete. */
    fun feed(content: ByteBuf): List<StreamEvent> {
        buffer.writeBytes(content)
        val events = mutableListOf<StreamEvent>()
        while (true) {
            val length = firstEventLength() ?: break
            val bytes = Unpooled.buffer(length).writeBytes(buffer, length)
            events += StreamEvent(bytes, idOf(bytes))
        }
        lineStart -= buffer.readerIndex()
        scannedTo -= buffer.readerIndex()
        buffer.discardReadBytes()
        return events
    }

    /** Returns the bytes after the last complete event. */
    fun remainder(): ByteBuf = buffer

    private fun firstEventLength(): Int? {
        while (true) {
            val lineEnd = buffer.indexOf(scannedTo, buffer.writerIndex(), LINE_FEED)
            val scanEnd = if (lineEnd < 0) buffer.writerIndex() else lineEnd + 1
            scannedBytes += scanEnd - scannedTo
            scannedTo = scanEnd
            if (lineEnd < 0) return null
            val isEvent = endsEvent(lineStart, lineEnd)
            lineStart = scanEnd
            if (isEvent) return scanEnd - buffer.readerIndex()
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
