package org.heatherwind.gateway.serve

import org.heatherwind.gateway.caller.CallerResponseWriter
import org.heatherwind.gateway.rollout.AttemptObservation

/** What the caller has received of the response, over all attempts. */
internal class DeliveryProgress(val callerResponse: CallerResponseWriter) {
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

    /** Observes the current attempt during a roll-out, or null. */
    var observation: AttemptObservation? = null

    /** Records and charges an event that is forwarded; [id] is null where the event has none. */
    fun recordEvent(id: Long?) {
        meter?.recordEvent()
        observation?.recordEvent()
        eventCount++
        if (id != null) lastEventId = id
    }
}
