package org.heatherwind.gateway.serve

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** One complete event of a stream. [id] is its numeric ID, or null where it has none. */
internal class StreamEvent(val bytes: ByteBuf, val id: Long?)

/**
 * Splits a byte stream into complete events, each ending with an empty line. Partial events are buffered.
 *
 * @param maximumEventBytes size above which a partial event is taken for bytes without end
 */
internal class EventSplitter(private val maximumEventBytes: Int = MAXIMUM_EVENT_BYTES) {
    private val buffer = Unpooled.buffer()

    /** Start of the first line in [buffer] that was not scanned completely. */
    private var unscannedLineStart = 0

    /** Whether the partial event exceeds the maximum size, so that the stream is not one of events. */
    val isOverflowing: Boolean get() = buffer.readableBytes() > maximumEventBytes

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
            val length = lineEnd - lineStart
            unscannedLineStart = lineEnd + 1
            val isEmpty = length == 0 || (length == 1 && buffer.getByte(lineStart) == CARRIAGE_RETURN)
            if (isEmpty) return lineEnd + 1 - buffer.readerIndex()
        }
    }

    private fun idOf(event: ByteBuf): Long? = event.toString(Charsets.UTF_8).lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }?.substring(ID_FIELD.length)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"

        /** Many times the size of an event with several tokens. */
        const val MAXIMUM_EVENT_BYTES = 262_144
    }
}
