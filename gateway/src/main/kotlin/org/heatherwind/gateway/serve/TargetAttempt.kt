package org.heatherwind.gateway.serve

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.MemoryShare
import org.heatherwind.gateway.http.ResponsePart
import org.heatherwind.gateway.protocol.CallerProtocol
import org.heatherwind.gateway.protocol.TargetInstruction
import org.heatherwind.gateway.protocol.TargetResponseHead
import org.heatherwind.gateway.rollout.AttemptObservation
import java.io.ByteArrayOutputStream

/**
 * One attempt of a request on one target: [connect], [send], then [forward].
 *
 * @param memory holds what is buffered of the response
 * @param notices records what the target states about further requests
 * @param observation observes the attempt during a roll-out, or null
 * @param takeOver called when the response is overdue; returns whether another target has taken the request over, and
 * this attempt is to end
 */
internal class TargetAttempt(
    private val work: WorkRequest,
    private val request: ReceivedRequest,
    val placement: Placement,
    private val progress: DeliveryProgress,
    private val urgency: Int?,
    private val protocol: CallerProtocol,
    private val client: TargetClient,
    private val clock: MonotonicClock,
    private val responseTimeouts: ResponseTimeoutPolicy,
    private val memory: MemoryShare,
    private val notices: TargetNotices,
    private val observation: AttemptObservation?,
    private val takeOver: suspend (TargetAttempt) -> Boolean,
) {
    private val target = placement.target
    private val inFlight = target.recordSent(
        work.tokens,
        placement.prefillMilliseconds,
        placement.expectedMilliseconds,
        clock.now(),
    )
    private var isFirstEventRecorded = false

    private val survival = AnswerSurvival(clock, progress::recordAnswerOutlived)

    /** Whether the target has outlived the begin of its answer. */
    val hasOutlivedAnswer: Boolean get() = survival.isProven

    private val claim = target.pace.claim()

    /** When the response is overdue. Only valid parts of the answer extend it, other bytes do not. */
    private var progressDeadline = clock.now()
    private var isOverdueRecorded = false

    /** Responses that belong to other requests. */
    private var otherResponses = 0

    private var connection: ClientConnection? = null
    private var isEnded = false

    /** The head of the response, if [awaitAnswer] has received it and it was not processed yet. */
    private var receivedHead: ResponsePart.Head? = null

    /** Whether [awaitAnswer] has received the head of a response that can be forwarded. */
    val hasAnswered: Boolean get() = receivedHead != null

    /** Whether parts of the response have arrived that were not processed yet, and more may follow. */
    val isGoingOn: Boolean get() = connection?.hasArrivedParts == true

    /** Whether another target may take the request over from this attempt. */
    private var isReplaceable = false

    /** Forwards the events of the response, or null if none has begun. */
    private var events: EventForwarder? = null

    /** How long ago the attempt began. */
    val runMilliseconds: Long get() = clock.now().millisecondsSince(inFlight.sentAt)

    /** What this attempt has received so far. */
    val received: ReceivedCounts
        get() = ReceivedCounts(
            bytes = connection?.receivedBytes ?: 0,
            parts = connection?.receivedParts ?: 0,
            forwardedEvents = events?.forwardedEvents ?: 0,
        )

    /** Connects to the target. Returns null if that succeeded, or the result. */
    suspend fun connect(): AttemptResult? = ending {
        val isRepeatable = work.route.repeatability != Repeatability.AtMostOnce
        connection = client.connect(target, isRepeatable, excluded = progress.connections)
        if (connection != null) {
            val mayBeSent = target.mayBeSent(clock.now())
            return@ending if (mayBeSent) null else AttemptResult.NotSent("the target may get no request now")
        }
        target.recordConnectionFailure(clock.now())
        client.closeIdle(target)
        AttemptResult.NotSent("could not connect")
    }

    /** Sends the request; the attempt must be connected. */
    fun send(): Unit = ending {
        val instruction = TargetInstruction(
            target = target.entry.id,
            customer = work.customer?.id,
            remainingMilliseconds = work.deadline.millisecondsSince(clock.now()).coerceAtLeast(1),
            urgency = urgency,
            resumeAfterEvent = progress.lastEventId,
        )
        val headers = protocol.targetHeaders(request.head.headers(), instruction)
        val connection = checkNotNull(connection)
        progress.recordSent()
        target.pace.recordSent(clock.now())
        claim.giveBack()
        progress.connections += connection
        connection.send(request.head.method(), request.head.uri(), headers, request.body)
        extendProgress(hasStarted = false)
    }

    /**
     * Waits until the target begins to answer the request that was sent, at most until [deadline]. Returns null then,
     * or the result if the target does not answer it. Nothing is forwarded to the caller.
     */
    suspend fun awaitAnswer(deadline: MonotonicTime): AttemptResult? = ending {
        val connection = checkNotNull(connection)
        var result: AttemptResult? = null
        while (result == null && receivedHead == null) {
            result = when (val part = connection.receive(deadline)) {
                null -> return@ending null

                is ResponsePart.Failed -> AttemptResult.Incomplete(part.reason, isConnectionLost = true)

                is ResponsePart.Body -> null.also { part.content.release() }

                ResponsePart.End -> null

                is ResponsePart.Head -> if (isAnswer(part.response)) {
                    null.also { receivedHead = part }
                } else {
                    receiveResponse(connection, part.response)
                }
            }
        }
        result
    }

    /** Forwards the response to the caller; the request must have been sent. */
    suspend fun forward(): AttemptResult = ending {
        val connection = checkNotNull(connection)
        isReplaceable = true
        var result = receivedHead?.let { receiveResponse(connection, it.response) }
        while (result == null) {
            result = when (val part = nextPart(connection)) {
                null -> AttemptResult.Incomplete("no response before the progress deadline")
                is ResponsePart.Failed -> AttemptResult.Incomplete(part.reason, isConnectionLost = true)
                is ResponsePart.Body -> null.also { part.content.release() }
                ResponsePart.End -> null
                is ResponsePart.Head -> receiveResponse(connection, part.response)
            }
        }
        result
    }

    /** Ends the attempt, with [result] if it has one. An attempt without a result closes its connection. */
    fun end(result: AttemptResult? = null) {
        if (isEnded) return
        isEnded = true
        result?.let { recordResult(it) }
        if (result is AttemptResult.NotRun || result is AttemptResult.Misdirected) progress.recordNotRun()
        if (result == null) observation?.abandon() else observation?.end(result)
        target.recordEnded(inFlight)
        claim.giveBack()
        if (result is AttemptResult.Failed) progress.keepFailure(result, memory) else memory.release()
        val isComplete = result != null && result !is AttemptResult.Incomplete
        connection?.let { client.release(target, it, isComplete) }
    }

    /** Runs [act] and ends the attempt if that returns a result or fails. */
    private inline fun <T> ending(act: () -> T): T {
        var isSuccessful = false
        try {
            val outcome = act()
            isSuccessful = true
            if (outcome is AttemptResult) end(outcome)
            return outcome
        } finally {
            if (!isSuccessful) end()
        }
    }

    private fun recordResult(result: AttemptResult) {
        val now = clock.now()
        when (result) {
            is AttemptResult.Delivered -> {
                recordFirstEvent()
                target.recordSuccess(now)
            }

            is AttemptResult.Failed -> target.recordErrorResponse(now)

            is AttemptResult.Incomplete -> target.recordConnectionFailure(now)

            AttemptResult.Misdirected -> {
                target.recordReplaced()
                client.closeIdle(target)
            }

            is AttemptResult.NotRun -> target.recordOverload(now)

            is AttemptResult.NotSent -> Unit
        }
    }

    private fun recordFirstEvent() {
        if (!isFirstEventRecorded) target.recordFirstEvent(inFlight, clock.now())
        isFirstEventRecorded = true
    }

    /** Whether [response] begins an answer of the target that can be forwarded. */
    private fun isAnswer(response: HttpResponse): Boolean {
        val head = protocol.readResponse(response)
        return head.requestId == work.id && !head.isNotRun && head.isSigned && head.status in SUCCESS_STATUSES &&
            !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING) && mayForward(response)
    }

    /** Whether the successful [response] may be forwarded: a response that has started goes on with events only. */
    private fun mayForward(response: HttpResponse): Boolean =
        !progress.callerResponse.hasStarted || isEventStream(response)

    /**
     * Reads the response that starts with the head [response]. Returns its result, or null for an informational
     * response or one that belongs to another request.
     */
    private suspend fun receiveResponse(connection: ClientConnection, response: HttpResponse): AttemptResult? {
        val head = protocol.readResponse(response)
        head.load?.let { target.recordLoadReport(it.running, it.waiting, clock.now(), it.slots, it.slowdown) }
        if (head.status < FIRST_FINAL_STATUS) return null
        if (head.requestId != work.id) {
            connection.isClosing = true
            otherResponses++
            return when {
                otherResponses > MAXIMUM_OTHER_RESPONSES -> AttemptResult.Incomplete("responses to other requests")

                head.requestId != null -> null

                // A copy of an earlier refusal may arrive on a connection that carried other requests.
                head.isNotRun && connection.requestCount == 1 -> notRun(head).also { notices.record(target, head) }

                else -> AttemptResult.Incomplete("a response without a request ID")
            }
        }
        notices.record(target, head)
        extendProgress(hasStarted = !isEventStream(response))
        val isEncoded = response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
        return when {
            head.isNotRun -> collect(connection, response) { notRun(head) }

            !head.isSigned || isEncoded -> AttemptResult.Incomplete("a response unsigned or with an encoded body")

            head.status !in SUCCESS_STATUSES -> collect(connection, response) { body ->
                AttemptResult.Failed(head.status, protocol.callerHeaders(response.headers()), body)
            }

            !mayForward(response) -> AttemptResult.Incomplete("a response that does not continue the stream")

            isEventStream(response) -> forwardEvents(connection, response)

            else -> {
                recordFirstEvent()
                forwardBody(connection, response)
            }
        }
    }

    private fun notRun(head: TargetResponseHead): AttemptResult =
        if (head.isMisdirected) AttemptResult.Misdirected else AttemptResult.NotRun(head.status)

    private suspend fun collect(
        connection: ClientConnection,
        response: HttpResponse,
        result: (ByteArray) -> AttemptResult,
    ): AttemptResult {
        val body = ByteArrayOutputStream()
        while (true) {
            when (val part = nextPart(connection)) {
                null -> return AttemptResult.Incomplete("no progress in an error response: ${response.status()}")

                is ResponsePart.Failed -> return AttemptResult.Incomplete(part.reason, isConnectionLost = true)

                is ResponsePart.Head -> return AttemptResult.Incomplete("second response head within a response")

                ResponsePart.End -> return result(body.toByteArray())

                is ResponsePart.Body -> {
                    part.content.readBytes(body, part.content.readableBytes())
                    part.content.release()
                    if (body.size() > MAXIMUM_ERROR_BODY_BYTES || !memory.tryHold(body.size())) {
                        return withoutEnd(response)
                    }
                }
            }
        }
    }

    /** Returns the result of an error response whose body is not read to its end; "not run" holds without it. */
    private fun withoutEnd(response: HttpResponse): AttemptResult {
        val head = protocol.readResponse(response)
        return if (head.isNotRun) notRun(head) else AttemptResult.Incomplete("an error response too large to keep")
    }

    /** Buffers a short body until it is complete, so that a failure can be retried; forwards a long one as received. */
    private suspend fun forwardBody(connection: ClientConnection, response: HttpResponse): AttemptResult {
        val body = ByteArrayOutputStream()
        val status = response.status().code()
        while (true) {
            when (val part = nextPart(connection)) {
                null -> return AttemptResult.Incomplete("no progress before the end of the body")

                is ResponsePart.Failed -> return AttemptResult.Incomplete(part.reason, isConnectionLost = true)

                is ResponsePart.Head -> return AttemptResult.Incomplete("second response head within a response")

                ResponsePart.End -> {
                    finishBody(status, response, body)
                    return AttemptResult.Delivered(status)
                }

                is ResponsePart.Body -> {
                    extendProgress(hasStarted = true)
                    bufferOrForward(response, part.content, body)
                }
            }
        }
    }

    private suspend fun bufferOrForward(response: HttpResponse, content: ByteBuf, body: ByteArrayOutputStream) {
        if (progress.callerResponse.hasStarted) return progress.callerResponse.write(content)
        content.readBytes(body, content.readableBytes())
        content.release()
        if (body.size() > MAXIMUM_BUFFERED_BODY_BYTES || !memory.tryHold(body.size())) {
            startBody(response.status().code(), response, body)
            memory.release()
        }
    }

    private suspend fun startBody(status: Int, response: HttpResponse, body: ByteArrayOutputStream) {
        progress.callerResponse.start(status, protocol.callerHeaders(response.headers()))
        progress.callerResponse.write(Unpooled.wrappedBuffer(body.toByteArray()))
    }

    private fun finishBody(status: Int, response: HttpResponse, body: ByteArrayOutputStream) {
        if (progress.callerResponse.hasStarted) {
            progress.callerResponse.finish()
        } else {
            progress.callerResponse.respond(status, protocol.callerHeaders(response.headers()), body.toByteArray())
        }
    }

    private suspend fun forwardEvents(connection: ClientConnection, response: HttpResponse): AttemptResult {
        val forwarder = newForwarder(response).also { events = it }
        while (true) {
            when (val part = nextPart(connection)) {
                null -> return AttemptResult.Incomplete("no event before the progress deadline")

                is ResponsePart.Failed -> return AttemptResult.Incomplete(part.reason, isConnectionLost = true)

                is ResponsePart.Head -> return AttemptResult.Incomplete("second response head within a response")

                ResponsePart.End -> return finishEvents(connection, response, forwarder)

                is ResponsePart.Body ->
                    forwarder.forward(part.content)?.let { return AttemptResult.Incomplete(it) }
            }
        }
    }

    private fun newForwarder(response: HttpResponse) = EventForwarder(
        progress = progress,
        tokens = work.tokens,
        memory = memory,
        startResponse = {
            progress.callerResponse.start(response.status().code(), protocol.callerHeaders(response.headers()))
        },
        onEvents = {
            recordFirstEvent()
            survival.recordEvents()
            extendProgress(hasStarted = true)
        },
        onForwarded = { observation?.recordEvent() },
    )

    /** Completes the caller's response, unless the stream ended within an event or, if unframed, before the first. */
    private suspend fun finishEvents(
        connection: ClientConnection,
        response: HttpResponse,
        forwarder: EventForwarder,
    ): AttemptResult {
        if (forwarder.isWithinEvent) {
            val isConnectionLost = !connection.isResponseFramed
            return AttemptResult.Incomplete("the stream ended within an event", isConnectionLost)
        }
        if (forwarder.hasNotContinued) return AttemptResult.Incomplete("the stream was not continued")
        if (!forwarder.hasEvents && !connection.isResponseFramed) {
            return AttemptResult.Incomplete("the stream ended before its first event", isConnectionLost = true)
        }
        forwarder.finish()
        return AttemptResult.Delivered(response.status().code())
    }

    private fun extendProgress(hasStarted: Boolean) {
        val timeoutMilliseconds = responseTimeouts.timeoutMilliseconds(work, progress, hasStarted)
        progressDeadline = clock.now().plusMilliseconds(timeoutMilliseconds)
        isOverdueRecorded = false
    }

    /**
     * Returns the next part, or null if the response is overdue and another target has taken the request over. If none
     * has, a slow response is better than none, so this waits on.
     */
    private suspend fun nextPart(connection: ClientConnection): ResponsePart? {
        while (true) {
            connection.receive(progressDeadline)?.let { return it }
            if (!isOverdueRecorded) target.recordConnectionFailure(clock.now())
            if (!isReplaceable || takeOver(this)) return null
            extendProgress(hasStarted = true)
            isOverdueRecorded = true
        }
    }

    private fun isEventStream(response: HttpResponse): Boolean = work.route.isStream &&
        response.headers()[HttpHeaderNames.CONTENT_TYPE].orEmpty().startsWith(EVENT_STREAM)

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
        const val FIRST_FINAL_STATUS = 200
        val SUCCESS_STATUSES = 200..299

        /** Late copies of a few responses may precede the one that is expected. */
        const val MAXIMUM_OTHER_RESPONSES = 8

        /** Longer bodies of error responses are taken for bytes without end. */
        const val MAXIMUM_ERROR_BODY_BYTES = 1_048_576

        /** Longer bodies are forwarded before they are complete. */
        const val MAXIMUM_BUFFERED_BODY_BYTES = 262_144
    }
}
