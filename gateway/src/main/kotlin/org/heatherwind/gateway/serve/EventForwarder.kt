package org.heatherwind.gateway.serve

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.heatherwind.core.work.TokenDemand
import org.heatherwind.gateway.http.MemoryShare

/**
 * Forwards the events of one target's response to the caller, in one write for all events that arrive together.
 *
 * @param tokens the size of the generation, which limits the number of its events, or null if it is unknown
 * @param memory holds what is buffered of a partial event
 * @param startResponse starts the caller's response; called before the first event of the request
 * @param onEvents called when complete events have arrived
 * @param onForwarded called for each event that is forwarded
 */
internal class EventForwarder(
    private val progress: DeliveryProgress,
    tokens: TokenDemand?,
    private val memory: MemoryShare,
    private val startResponse: () -> Unit,
    private val onEvents: () -> Unit,
    private val onForwarded: () -> Unit,
) {
    private val splitter = EventSplitter()
    private val maximumEvents = tokens?.let { it.maximumOutput + EVENTS_WITHOUT_TOKENS } ?: Long.MAX_VALUE
    private var receivedEvents = 0L

    /** Whether the caller has events of an earlier attempt, which this response is to continue. */
    private val isContinuation = progress.callerResponse.hasStarted

    /** Events that were forwarded. */
    var forwardedEvents = 0L
        private set

    /** Whether a complete event has arrived. */
    val hasEvents: Boolean get() = receivedEvents > 0

    /** Whether the response was to continue a stream and has no event for it. */
    val hasNotContinued: Boolean get() = isContinuation && forwardedEvents == 0L

    /** Whether the response has ended within an event if it ends now. */
    val isWithinEvent: Boolean get() = splitter.isWithinEvent

    /**
     * Forwards the events that are complete with [content], which it releases. Returns null, or the reason for which
     * the response is not taken any further.
     */
    suspend fun forward(content: ByteBuf): String? {
        val events = try {
            splitter.feed(content)
        } finally {
            content.release()
        }
        if (events.isNotEmpty()) onEvents()
        val forwarded = mutableListOf<ByteBuf>()
        var isGap = false
        for (event in events) {
            if (++receivedEvents > maximumEvents || isGap) break
            if (isRepeated(event)) continue
            isGap = isContinuation && event.id != progress.lastEventId?.plus(1)
            if (!isGap) forwarded += event.bytes.also { recordForwarded(event) }
        }
        if (forwarded.isNotEmpty()) progress.callerResponse.write(joined(forwarded))
        return when {
            isGap -> "an event that does not follow the last one of the stream"
            receivedEvents > maximumEvents -> "more events than requested tokens"
            splitter.isOverflowing -> "an event without end"
            !memory.tryHold(splitter.remainder().readableBytes()) -> "a partial event too large to keep"
            else -> null
        }
    }

    /** Forwards the bytes after the last event, as comments, and completes the caller's response. */
    suspend fun finish() {
        if (!progress.callerResponse.hasStarted) startResponse()
        if (splitter.remainder().isReadable) progress.callerResponse.write(splitter.remainder())
        progress.callerResponse.finish()
    }

    private fun recordForwarded(event: StreamEvent) {
        if (!progress.callerResponse.hasStarted) startResponse()
        progress.recordEvent(event.id)
        forwardedEvents++
        onForwarded()
    }

    private fun joined(buffers: List<ByteBuf>): ByteBuf =
        buffers.singleOrNull() ?: Unpooled.compositeBuffer(buffers.size).addComponents(true, buffers)

    private fun isRepeated(event: StreamEvent): Boolean {
        val last = progress.lastEventId
        return event.id != null && last != null && event.id <= last
    }

    private companion object {
        /** Each event has at least one token, except for one that ends the stream. */
        const val EVENTS_WITHOUT_TOKENS = 1
    }
}
