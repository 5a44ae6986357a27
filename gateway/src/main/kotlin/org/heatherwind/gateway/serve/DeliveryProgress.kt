package org.heatherwind.gateway.serve

import org.heatherwind.gateway.caller.CallerResponseWriter
import org.heatherwind.gateway.crash.RequestKeys

/**
 * What the caller has received of the response, over all attempts.
 *
 * @property keys identify the request's content
 * @param onAnswerBegun called when the first answer of a target begins
 */
internal class DeliveryProgress(
    val callerResponse: CallerResponseWriter,
    val keys: RequestKeys,
    private val onAnswerBegun: () -> Unit,
) {
    /** Whether some target has begun to answer the request. */
    var hasAnswerBegun = false
        private set

    /** ID of the last event that was forwarded, or null. */
    var lastEventId: Long? = null
        private set

    /** Number of events that were forwarded. */
    var eventCount = 0L
        private set

    /** Whether a target may have started to run the request. */
    var mayHaveRun = false

    /** Charges events to the customer, or null where nothing is charged. */
    var meter: TokenMeter? = null

    /** Records that a target has begun to answer the request. */
    fun recordAnswerBegun() {
        if (hasAnswerBegun) return
        hasAnswerBegun = true
        onAnswerBegun()
    }

    /** Records and charges an event that is forwarded; [id] is null where the event has none. */
    fun recordEvent(id: Long?) {
        recordAnswerBegun()
        meter?.recordEvent()
        eventCount++
        if (id != null) lastEventId = id
    }
}
