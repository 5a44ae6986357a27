package org.heatherwind.gateway.serve

import org.heatherwind.gateway.caller.CallerResponseWriter
import org.heatherwind.gateway.crash.RequestKeys
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.MemoryShare

/** How far a request got. */
internal enum class RequestStage {
    /** It was read. */
    READ,

    /** It has a route. */
    ADMITTED,

    /** Its tokens are reserved. */
    RESERVED,

    /** It was sent to a target. */
    SENT,

    /** The head of the response was written to the caller. */
    HEAD,

    /** An event of the response was written to the caller. */
    EVENTS,
}

/** What the caller has received of the response, over all attempts. */
internal class DeliveryProgress(val callerResponse: CallerResponseWriter) {
    /** ID of the request; empty until it is read, and if it has none. */
    var requestId = ""

    /** Name of the route, or null before the request is admitted. */
    var route: String? = null

    /** How far the request got. */
    val stage: RequestStage get() = when {
        eventCount > 0 -> RequestStage.EVENTS
        callerResponse.hasStarted -> RequestStage.HEAD
        mayHaveRun -> RequestStage.SENT
        meter != null -> RequestStage.RESERVED
        route != null -> RequestStage.ADMITTED
        else -> RequestStage.READ
    }

    /** Identifies the request's content; set when the request is admitted. */
    lateinit var keys: RequestKeys

    /** Called when a target has first outlived the begin of its answer. */
    var onAnswerOutlived: () -> Unit = {}

    private var isAnswerOutlived = false

    /** ID of the last event that was forwarded, or null. */
    var lastEventId: Long? = null
        private set

    /** Number of events that were forwarded. */
    var eventCount = 0L
        private set

    /** Attempts that were sent and not refused by their target. */
    private var possibleRuns = 0

    /** Whether a target may have started to run the request. */
    val mayHaveRun: Boolean get() = possibleRuns > 0

    /** The last complete error response of a target, or null. */
    var lastFailure: AttemptResult.Failed? = null
        private set

    /** What is held for [lastFailure]. */
    private var failureMemory: MemoryShare? = null

    /** Connections on which the request was sent; a copy of an earlier response may still arrive on them. */
    val connections: MutableSet<ClientConnection> = HashSet()

    /** Charges events to the customer, or null where nothing is charged. */
    var meter: TokenMeter? = null

    /** Keeps the error response [failure], for which [memory] is held, in place of an earlier one. */
    fun keepFailure(failure: AttemptResult.Failed, memory: MemoryShare) {
        releaseFailure()
        lastFailure = failure
        failureMemory = memory
    }

    /** Releases what is held for the last error response. */
    fun releaseFailure() {
        lastFailure = null
        failureMemory?.release()
        failureMemory = null
    }

    /** Sends the last error response of a target, unless an answer has started. Returns whether one was sent. */
    fun deliverFailure(): Boolean {
        val failure = lastFailure
        if (failure == null || callerResponse.hasStarted) return false
        callerResponse.respond(failure.status, failure.headers, failure.body)
        return true
    }

    /** Records that the request is sent to a target, which may run it. */
    fun recordSent() {
        possibleRuns++
    }

    /** Records that a target to which the request was sent has refused it and did not run it. */
    fun recordNotRun() {
        possibleRuns--
    }

    /** Records that a target has outlived the begin of its answer, so that the request does not crash it. */
    fun recordAnswerOutlived() {
        if (isAnswerOutlived) return
        isAnswerOutlived = true
        onAnswerOutlived()
    }

    /** Records and charges an event that is forwarded; [id] is null where the event has none. */
    fun recordEvent(id: Long?) {
        meter?.recordEvent()
        eventCount++
        if (id != null) lastEventId = id
    }
}
