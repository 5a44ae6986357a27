package org.heatherwind.gateway.serve

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** One complete event of a stream. [id] is its numeric ID, or null where it has none. */
internal class StreamEvent(val bytes: ByteBuf, val id: Long?)

/** Splits a byte stream into complete events, each ending with an empty line. Partial events are buffered. */
internal class EventSplitter {
    private val buffer = Unpooled.buffer()

    /** Adds [content], which it does not release, and returns the events that are now complete. */
    fun feed(content: ByteBuf): List<StreamEvent> {
        buffer.writeBytes(content)
        val events = mutableListOf<StreamEvent>()
        while (true) {
            val length = firstEventLength() ?: break
            val bytes = Unpooled.buffer(length).writeBytes(buffer, length)
            events += StreamEvent(bytes, idOf(bytes))
        }
        buffer.discardReadBytes()
        return events
    }

    /** Returns the bytes after the last complete event. */
    fun remainder(): ByteBuf = buffer

    private fun firstEventLength(): Int? {
        var lineStart = buffer.readerIndex()
        while (true) {
            val lineEnd = buffer.indexOf(lineStart, buffer.writerIndex(), LINE_FEED)
            if (lineEnd < 0) return null
            val length = lineEnd - lineStart
            val isEmpty = length == 0 || (length == 1 && buffer.getByte(lineStart) == CARRIAGE_RETURN)
            if (isEmpty) return lineEnd + 1 - buffer.readerIndex()
            lineStart = lineEnd + 1
        }
    }

    private fun idOf(event: ByteBuf): Long? = event.toString(Charsets.UTF_8).lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }?.substring(ID_FIELD.length)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
