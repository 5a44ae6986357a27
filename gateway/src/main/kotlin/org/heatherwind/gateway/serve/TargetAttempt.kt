package org.heatherwind.gateway.serve

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.ResponsePart
import org.heatherwind.gateway.protocol.CallerProtocol
import org.heatherwind.gateway.protocol.TargetInstruction
import org.heatherwind.gateway.protocol.TargetResponseHead
import java.io.ByteArrayOutputStream

/**
 * One attempt of a request on one target.
 *
 * @param mayContinueElsewhere returns whether the request could be sent to another target now
 */
internal class TargetAttempt(
    private val work: WorkRequest,
    private val request: ReceivedRequest,
    private val placement: Placement,
    private val progress: DeliveryProgress,
    private val urgency: Int?,
    private val protocol: CallerProtocol,
    private val client: TargetClient,
    private val clock: MonotonicClock,
    private val responseTimeouts: ResponseTimeoutPolicy,
    private val mayContinueElsewhere: () -> Boolean,
) {
    private val target = placement.target
    private val inFlight = target.recordSent(
        work.tokens,
        placement.prefillMilliseconds,
        placement.expectedMilliseconds,
        clock.now(),
    )
    private var isFirstEventRecorded = false
    private val splitter = EventSplitter()

    /** When the response is overdue. Only valid parts of the answer extend it, other bytes do not. */
    private var progressDeadline = clock.now()
    private var isOverdueRecorded = false

    /** Sends the request and forwards the response to the caller. */
    suspend fun run(): AttemptResult {
        val isRepeatable = work.route.repeatability != Repeatability.AtMostOnce
        var connection: ClientConnection? = null
        var isComplete = false
        try {
            connection = client.connect(target, isRepeatable)
            if (connection == null) {
                target.recordConnectionFailure(clock.now())
                client.closeIdle(target)
                return AttemptResult.NotSent("could not connect")
            }
            send(connection)
            val result = receive(connection)
            isComplete = result !is AttemptResult.Incomplete
            recordResult(result)
            return result
        } finally {
            target.recordEnded(inFlight)
            connection?.let { client.release(target, it, isComplete) }
        }
    }

    private fun send(connection: ClientConnection) {
        progress.mayHaveRun = true
        val instruction = TargetInstruction(
            target = target.entry.id,
            customer = work.customer?.id,
            remainingMilliseconds = work.deadline.millisecondsSince(clock.now()).coerceAtLeast(1),
            urgency = urgency,
            resumeAfterEvent = progress.lastEventId,
        )
        val headers = protocol.targetHeaders(request.head.headers(), instruction)
        connection.send(request.head.method(), request.head.uri(), headers, request.body)
        extendProgress(hasStarted = false)
    }

    private fun recordResult(result: AttemptResult) {
        val now = clock.now()
        when (result) {
            is AttemptResult.Delivered -> target.recordSuccess(now)

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

    private suspend fun receive(connection: ClientConnection): AttemptResult {
        while (true) {
            val part = nextPart(connection)
                ?: return AttemptResult.Incomplete("no response before the progress deadline")
            when (part) {
                is ResponsePart.Failed -> return AttemptResult.Incomplete(part.reason, isConnectionLost = true)
                is ResponsePart.Body -> part.content.release()
                ResponsePart.End -> Unit
                is ResponsePart.Head -> receiveResponse(connection, part.response)?.let { return it }
            }
        }
    }

    /**
     * Reads the response that starts with the head [response]. Returns its result, or null for an informational
     * response or one that belongs to another request.
     */
    private suspend fun receiveResponse(connection: ClientConnection, response: HttpResponse): AttemptResult? {
        val head = protocol.readResponse(response)
        head.load?.let { target.recordLoadReport(it.running, it.waiting, clock.now()) }
        if (head.status < FIRST_FINAL_STATUS) return null
        if (head.requestId != work.id) {
            connection.isClosing = true
            return when {
                head.requestId != null -> null
                head.isNotRun -> notRun(head)
                else -> AttemptResult.Incomplete("a response without a request ID")
            }
        }
        extendProgress(hasStarted = !isEventStream(response))
        val isEncoded = response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
        return when {
            head.isNotRun -> collect(connection, response) { notRun(head) }
            !head.isSigned || isEncoded -> AttemptResult.Incomplete("a response unsigned or with an encoded body")
            head.status !in SUCCESS_STATUSES -> collect(connection, response) { body -> failed(head, response, body) }
            isEventStream(response) -> forwardEvents(connection, response)
            else -> forwardBody(connection, response)
        }
    }

    private fun notRun(head: TargetResponseHead): AttemptResult =
        if (head.isMisdirected) AttemptResult.Misdirected else AttemptResult.NotRun(head.status)

    private fun failed(head: TargetResponseHead, response: HttpResponse, body: ByteArray): AttemptResult =
        AttemptResult.Failed(head.status, protocol.callerHeaders(response.headers()), body)

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
                    if (body.size() > MAXIMUM_ERROR_BODY_BYTES) return withoutEnd(response)
                }
            }
        }
    }

    /** Returns the result of an error response whose body does not end; "not run" holds without the body. */
    private fun withoutEnd(response: HttpResponse): AttemptResult {
        val head = protocol.readResponse(response)
        return if (head.isNotRun) notRun(head) else AttemptResult.Incomplete("an error response without end")
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
        if (body.size() > MAXIMUM_BUFFERED_BODY_BYTES) startBody(response.status().code(), response, body)
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
        while (true) {
            if (splitter.isOverflowing) return AttemptResult.Incomplete("an event without end")
            when (val part = nextPart(connection)) {
                null -> return AttemptResult.Incomplete("no event before the progress deadline")
                is ResponsePart.Failed -> return AttemptResult.Incomplete(part.reason, isConnectionLost = true)
                is ResponsePart.Head -> return AttemptResult.Incomplete("second response head within a response")
                ResponsePart.End -> return finishEvents(response)
                is ResponsePart.Body -> forwardCompleteEvents(response, part.content)
            }
        }
    }

    private suspend fun forwardCompleteEvents(response: HttpResponse, content: ByteBuf) {
        val events = try {
            splitter.feed(content)
        } finally {
            content.release()
        }
        for (event in events) {
            recordFirstEvent()
            extendProgress(hasStarted = true)
            val last = progress.lastEventId
            if (event.id != null && last != null && event.id <= last) {
                event.bytes.release()
                continue
            }
            if (!progress.callerResponse.hasStarted) startEvents(response)
            progress.recordEvent(event.id)
            progress.callerResponse.write(event.bytes)
        }
    }

    private fun startEvents(response: HttpResponse): Unit =
        progress.callerResponse.start(response.status().code(), protocol.callerHeaders(response.headers()))

    private suspend fun finishEvents(response: HttpResponse): AttemptResult {
        if (!progress.callerResponse.hasStarted) startEvents(response)
        val remainder = splitter.remainder()
        if (remainder.isReadable) progress.callerResponse.write(remainder.retainedDuplicate())
        progress.callerResponse.finish()
        return AttemptResult.Delivered(response.status().code())
    }

    private fun extendProgress(hasStarted: Boolean) {
        val timeoutMilliseconds = responseTimeouts.timeoutMilliseconds(work, progress, hasStarted)
        progressDeadline = clock.now().plusMilliseconds(timeoutMilliseconds)
        isOverdueRecorded = false
    }

    /**
     * Returns the next part, or null if the response is overdue and the request can continue on another target. If it
     * cannot, a slow response is better than none, so this waits on.
     */
    private suspend fun nextPart(connection: ClientConnection): ResponsePart? {
        connection.receiveIfAvailable()?.let { return it }
        val remaining = progressDeadline.millisecondsSince(clock.now())
        val part = if (remaining > 0) withTimeoutOrNull(remaining) { connection.receive() } else null
        if (part != null) return part
        if (!isOverdueRecorded) target.recordConnectionFailure(clock.now())
        isOverdueRecorded = true
        return if (mayContinueElsewhere()) null else connection.receive()
    }

    private fun isEventStream(response: HttpResponse): Boolean = work.route.isStream &&
        response.headers()[HttpHeaderNames.CONTENT_TYPE].orEmpty().startsWith(EVENT_STREAM)

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
        const val FIRST_FINAL_STATUS = 200
        val SUCCESS_STATUSES = 200..299

        /** Longer bodies of error responses are taken for bytes without end. */
        const val MAXIMUM_ERROR_BODY_BYTES = 1_048_576

        /** Longer bodies are forwarded before they are complete. */
        const val MAXIMUM_BUFFERED_BODY_BYTES = 262_144
    }
}
