package org.heatherwind.gateway.serve

import org.heatherwind.gateway.caller.CallerResponseWriter

/** How much of an answer the caller has, over all tries. */
internal class DeliveryProgress(val answer: CallerResponseWriter) {
    /** Number of the last event that was passed on, or null. */
    var lastEventId: Long? = null
        private set

    /** Events that were passed on. */
    var eventCount = 0L
        private set

    /** Whether a target may have begun to run the request. */
    var mayHaveRun = false

    /** Charges events to the customer, or null where nothing is charged. */
    var meter: TokenMeter? = null

    /** Notes an event that is passed on. */
    fun recordEvent(id: Long?) {
        meter?.recordEvent()
        eventCount++
        if (id != null) lastEventId = id
    }
}
