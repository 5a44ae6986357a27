package org.heatherwind.gateway.serve

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
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

/** One try of a request on one target. */
internal class TargetAttempt(
    private val work: WorkRequest,
    private val received: ReceivedRequest,
    private val placement: Placement,
    private val progress: DeliveryProgress,
    private val urgency: Int?,
    private val protocol: CallerProtocol,
    private val client: TargetClient,
    private val clock: MonotonicClock,
    private val responseTimeouts: ResponseTimeoutPolicy,
) {
    private val target = placement.target
    private val sent = target.recordSent(
        work.tokens,
        placement.prefillMilliseconds,
        placement.expectedMilliseconds,
        clock.now(),
    )
    private var isRead = false
    private val splitter = EventSplitter()

    /** Sends the request and passes the answer on. */
    suspend fun run(): AttemptResult {
        val isRepeatable = work.route.repeatability != Repeatability.AtMostOnce
        var connection: ClientConnection? = null
        var isWhole = false
        try {
            connection = client.connect(target, isRepeatable)
            if (connection == null) {
                target.recordConnectionFailure(clock.now())
                client.forget(target)
                return AttemptResult.Unsent("no connection")
            }
            send(connection)
            val result = receive(connection)
            isWhole = result !is AttemptResult.Broken
            note(result)
            return result
        } finally {
            target.recordEnded(sent)
            connection?.let { client.finish(target, it, isWhole) }
        }
    }

    private fun send(connection: ClientConnection) {
        progress.mayHaveRun = true
        val instruction = TargetInstruction(
            target = target.entry.id,
            customer = work.customer?.id,
            millisecondsLeft = work.deadline.millisecondsSince(clock.now()).coerceAtLeast(1),
            urgency = urgency,
            resumeAfterEvent = progress.lastEventId,
        )
        val headers = protocol.targetHeaders(received.head.headers(), instruction)
        connection.send(received.head.method(), received.head.uri(), headers, received.body)
    }

    private fun note(result: AttemptResult) {
        val now = clock.now()
        when (result) {
            is AttemptResult.Delivered -> target.recordSuccess(now)

            is AttemptResult.Failed -> target.recordErrorResponse(now)

            is AttemptResult.Broken -> target.recordConnectionFailure(now)

            AttemptResult.Misdirected -> {
                target.recordReplaced()
                client.forget(target)
            }

            is AttemptResult.NotRun -> target.recordOverload(now)

            is AttemptResult.Unsent -> Unit
        }
    }

    private fun noteRead() {
        if (!isRead) target.recordFirstEvent(sent, clock.now())
        isRead = true
    }

    private suspend fun receive(connection: ClientConnection): AttemptResult {
        while (true) {
            val part = next(connection, hasBegun = false)
                ?: return AttemptResult.Broken("no answer before the progress deadline")
            when (part) {
                is ResponsePart.Broken -> return AttemptResult.Broken(part.reason)
                is ResponsePart.Body -> part.content.release()
                ResponsePart.End -> Unit
                is ResponsePart.Head -> receiveAnswer(connection, part.response)?.let { return it }
            }
        }
    }

    /** The result of an answer with this [response] as its head, or null when it belongs to another request. */
    private suspend fun receiveAnswer(connection: ClientConnection, response: HttpResponse): AttemptResult? {
        val head = protocol.readResponse(response)
        head.load?.let { target.recordLoadReport(it.running, it.waiting, clock.now()) }
        if (head.status < FIRST_FINAL_STATUS) return null
        if (head.requestId != work.id) {
            connection.isClosing = true
            return when {
                head.requestId != null -> null
                head.isNotRun -> notRun(head)
                else -> AttemptResult.Broken("an answer without a name")
            }
        }
        val isEncoded = response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
        return when {
            head.isNotRun -> collect(connection, response) { notRun(head) }
            !head.isSigned || isEncoded -> AttemptResult.Broken("an answer that is not the service's")
            head.status !in SUCCESS -> collect(connection, response) { body -> failed(head, response, body) }
            isEventStream(response) -> passEvents(connection, response)
            else -> passBody(connection, response)
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
            when (val part = next(connection, hasBegun = true)) {
                null -> return AttemptResult.Broken("no progress within an error answer of ${response.status()}")

                is ResponsePart.Broken -> return AttemptResult.Broken(part.reason)

                is ResponsePart.Head -> return AttemptResult.Broken("a second answer within the first")

                ResponsePart.End -> return result(body.toByteArray())

                is ResponsePart.Body -> {
                    part.content.readBytes(body, part.content.readableBytes())
                    part.content.release()
                }
            }
        }
    }

    /** Keeps a short body until it is whole, so that a broken one can be replaced; passes a long one on as it comes. */
    private suspend fun passBody(connection: ClientConnection, response: HttpResponse): AttemptResult {
        val body = ByteArrayOutputStream()
        val status = response.status().code()
        while (true) {
            when (val part = next(connection, hasBegun = true)) {
                null -> return AttemptResult.Broken("no progress within the body")

                is ResponsePart.Broken -> return AttemptResult.Broken(part.reason)

                is ResponsePart.Head -> return AttemptResult.Broken("a second answer within the first")

                ResponsePart.End -> {
                    finishBody(status, response, body)
                    return AttemptResult.Delivered(status)
                }

                is ResponsePart.Body -> takeBody(response, part.content, body)
            }
        }
    }

    private suspend fun takeBody(response: HttpResponse, content: ByteBuf, body: ByteArrayOutputStream) {
        if (progress.answer.hasBegun) return progress.answer.write(content)
        content.readBytes(body, content.readableBytes())
        content.release()
        if (body.size() > MAXIMUM_KEPT_BODY_BYTES) beginBody(response.status().code(), response, body)
    }

    private suspend fun beginBody(status: Int, response: HttpResponse, body: ByteArrayOutputStream) {
        progress.answer.begin(status, protocol.callerHeaders(response.headers()))
        progress.answer.write(Unpooled.wrappedBuffer(body.toByteArray()))
    }

    private fun finishBody(status: Int, response: HttpResponse, body: ByteArrayOutputStream) {
        if (progress.answer.hasBegun) {
            progress.answer.finish()
        } else {
            progress.answer.respond(status, protocol.callerHeaders(response.headers()), body.toByteArray())
        }
    }

    private suspend fun passEvents(connection: ClientConnection, response: HttpResponse): AttemptResult {
        while (true) {
            when (val part = next(connection, hasBegun = isRead)) {
                null -> return AttemptResult.Broken("no event before the progress deadline")
                is ResponsePart.Broken -> return AttemptResult.Broken(part.reason)
                is ResponsePart.Head -> return AttemptResult.Broken("a second answer within the first")
                ResponsePart.End -> return endEvents(response)
                is ResponsePart.Body -> passEvents(response, part.content)
            }
        }
    }

    private suspend fun passEvents(response: HttpResponse, content: ByteBuf) {
        val events = try {
            splitter.feed(content)
        } finally {
            content.release()
        }
        for (event in events) {
            noteRead()
            val last = progress.lastEventId
            if (event.id != null && last != null && event.id <= last) {
                event.bytes.release()
                continue
            }
            if (!progress.answer.hasBegun) beginEvents(response)
            progress.recordEvent(event.id)
            progress.answer.write(event.bytes)
        }
    }

    private fun beginEvents(response: HttpResponse): Unit =
        progress.answer.begin(response.status().code(), protocol.callerHeaders(response.headers()))

    private suspend fun endEvents(response: HttpResponse): AttemptResult {
        if (!progress.answer.hasBegun) beginEvents(response)
        val rest = splitter.rest()
        if (rest.isReadable) progress.answer.write(rest.retainedDuplicate())
        progress.answer.finish()
        return AttemptResult.Delivered(response.status().code())
    }

    /** The next part, or null when the request should go elsewhere because nothing came in time. */
    private suspend fun next(connection: ClientConnection, hasBegun: Boolean): ResponsePart? {
        val now: MonotonicTime = clock.now()
        val limit = responseTimeouts.timeoutMilliseconds(work, progress, hasBegun)
        val part = withTimeoutOrNull(limit) { connection.receive() }
        if (part != null) return part
        target.recordConnectionFailure(now)
        return if (responseTimeouts.mayLeave(work, progress)) null else connection.receive()
    }

    private fun isEventStream(response: HttpResponse): Boolean = work.route.isStream &&
        response.headers()[HttpHeaderNames.CONTENT_TYPE].orEmpty().startsWith(EVENT_STREAM)

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
        const val FIRST_FINAL_STATUS = 200
        val SUCCESS = 200..299

        /** Longer bodies are passed on before they are whole. */
        const val MAXIMUM_KEPT_BODY_BYTES = 262_144
    }
}
