package org.heatherwind.gateway.serve

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** One whole event of a stream. [id] is its number, or null where it has none. */
internal class StreamEvent(val bytes: ByteBuf, val id: Long?)

/** Cuts a byte stream into whole events, each ending with an empty line. Half an event is kept until its rest comes. */
internal class EventSplitter {
    private val pending = Unpooled.buffer()

    /** Takes [content], which it does not release, and answers the events that are now whole. */
    fun feed(content: ByteBuf): List<StreamEvent> {
        pending.writeBytes(content)
        val events = mutableListOf<StreamEvent>()
        while (true) {
            val end = endOfEvent() ?: break
            val bytes = Unpooled.buffer(end).writeBytes(pending, end)
            events += StreamEvent(bytes, idOf(bytes))
        }
        pending.discardReadBytes()
        return events
    }

    /** What follows the last whole event. */
    fun rest(): ByteBuf = pending

    private fun endOfEvent(): Int? {
        var lineStart = pending.readerIndex()
        while (true) {
            val lineEnd = pending.indexOf(lineStart, pending.writerIndex(), LINE_FEED)
            if (lineEnd < 0) return null
            val length = lineEnd - lineStart
            val isEmpty = length == 0 || (length == 1 && pending.getByte(lineStart) == CARRIAGE_RETURN)
            if (isEmpty) return lineEnd + 1 - pending.readerIndex()
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
