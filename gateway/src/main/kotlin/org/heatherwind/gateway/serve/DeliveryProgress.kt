package org.heatherwind.gateway.serve

import org.heatherwind.gateway.caller.CallerAnswer

/** How much of an answer the caller has, over all tries. */
internal class DeliveryProgress(val answer: CallerAnswer) {
    /** Number of the last event that was passed on, or null. */
    var lastEventId: Long? = null
        private set

    /** Events that were passed on. */
    var eventCount = 0L
        private set

    /** Whether a target may have begun to run the request. */
    var mayHaveRun = false

    /** Notes an event that was passed on. */
    fun recordEvent(id: Long?) {
        eventCount++
        if (id != null) lastEventId = id
    }
}
