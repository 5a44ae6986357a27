package org.heatherwind.router.entry

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import kotlinx.coroutines.CancellationException
import org.heatherwind.core.configuration.EngineService
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.ReserveResponse
import org.heatherwind.core.result.ResultCode
import java.io.IOException

/**
 * Serves chat completions: reserves tokens, sends the request to an engine, relays the response, settles, and only then
 * ends the response.
 */
internal class ChatHandler(private val context: EntryContext, private val engineClient: EngineClient) {
    /** Serves [call] from arrival to the end of its response. */
    suspend fun handle(call: ApplicationCall) {
        val arrivedAt = context.clock.now()
        when (val prepared = prepare(call, arrivedAt)) {
            is Either.Left -> {
                context.metrics.countRequest(UNKNOWN_SERVICE, prepared.value)
                ErrorResponse.respond(call, prepared.value)
            }

            is Either.Right -> serve(call, prepared.value)
        }
    }

    private suspend fun prepare(call: ApplicationCall, arrivedAt: Timestamp): Either<ResultCode, AdmittedChat> =
        either {
            val credentials = call.credentials().bind()
            val body = call.receiveBody(context.maximumBodyBytes).bind()
            val chat = ChatRequest.parse(body).bind()
            val service = ensureNotNull(context.findEngineService(chat.model)) { ResultCode.UNKNOWN_MODEL }
            val settings = context.settingsOf(service.name, arrivedAt)
            val serviceLimitTokens = settings.maximumAnswerTokens.toLong()
            val idempotencyKey = call.request.header(IDEMPOTENCY_HEADER)
            val identity = context.identity
            val key = when (idempotencyKey) {
                null -> identity.newRequestKey()
                else -> identity.requestKeyFor(credentials.budget, idempotencyKey, RequestIdentity.digestOf(body))
            }
            AdmittedChat(
                key = key,
                credentials = credentials,
                chat = chat,
                service = service,
                maximumResponseTokens = minOf(chat.maximumResponseTokens ?: serviceLimitTokens, serviceLimitTokens),
                arrivedAt = arrivedAt,
                waitUntil = arrivedAt.plusMilliseconds(settings.reservationWaitMilliseconds.toLong()),
                deadline = arrivedAt.plusMilliseconds(settings.requestDeadlineSeconds * MILLISECONDS_PER_SECOND),
                progressTimeoutMilliseconds = settings.progressDeadlineSeconds * MILLISECONDS_PER_SECOND,
            )
        }

    private suspend fun serve(call: ApplicationCall, request: AdmittedChat) {
        val budget = request.credentials.budget
        trace(request, "Arrived for ${request.service.name}; worst case ${request.reservedTokens} tokens of $budget.")
        val (reservation, response) = context.owners.reserve(
            request.reserveEvent(context.entry, context.identity.newReservationId()),
        )
        when (response) {
            is ReserveResponse.Reserved -> run(call, request, ActiveReservation(response.holder, reservation))
            is ReserveResponse.Refused -> refuse(call, request, response.code)
            is ReserveResponse.Recorded -> refuse(call, request, ResultCode.REQUEST_ALREADY_ANSWERED)
        }
    }

    private suspend fun refuse(call: ApplicationCall, request: AdmittedChat, code: ResultCode) {
        recordResult(request, code)
        ErrorResponse.respond(call, code, request.key)
    }

    private suspend fun run(call: ApplicationCall, request: AdmittedChat, reservation: ActiveReservation) {
        trace(request, "Reserved under the grant of ${reservation.holder}.")
        val attemptedTargets = mutableSetOf<TargetId>()
        var failureCode = ResultCode.NO_TARGET_FREE
        while (attemptedTargets.size < MAXIMUM_ATTEMPTS) {
            val code = attemptTarget(call, request, reservation, attemptedTargets) ?: break
            if (code == ResultCode.COMPLETED) return
            // Once an attempt may have run, later codes must not report that the request did not run.
            if (failureCode.isNotRun) failureCode = code
            if (attemptedTargets.size < MAXIMUM_ATTEMPTS) context.metrics.countRetry(request.service.name.value)
        }
        val outcome = if (failureCode.isNotRun) SettlementOutcome.NOT_RUN else SettlementOutcome.INTERRUPTED
        settle(request, reservation, charged = 0, outcome)
        refuse(call, request, failureCode)
    }

    /**
     * Sends the request to one target. Returns a failure code after which another target may be attempted, COMPLETED
     * when a response to the caller was started, or null when no target had a free slot before the deadline.
     */
    private suspend fun attemptTarget(
        call: ApplicationCall,
        request: AdmittedChat,
        reservation: ActiveReservation,
        attemptedTargets: MutableSet<TargetId>,
    ): ResultCode? {
        val waitMilliseconds = request.deadline.remainingMilliseconds(context.clock.now())
        val target = context.slots.acquire(request.service.targets, attemptedTargets, waitMilliseconds) ?: return null
        attemptedTargets += target.name
        trace(request, "Sent to ${target.name}.")
        return try {
            engineClient.stream(
                target,
                request.key,
                request.chat.documentForEngine(request.maximumResponseTokens),
            ) { response ->
                when (response) {
                    is EngineResponse.Refused -> ResultCode.TARGET_REFUSED
                    is EngineResponse.Rejected -> ResultCode.TARGET_REFUSED
                    is EngineResponse.Failed -> ResultCode.TARGET_FAILED
                    is EngineResponse.Streaming -> relay(call, request, reservation, response.stream)
                }
            }
        } finally {
            context.slots.release(target.name)
        }
    }

    private suspend fun relay(
        call: ApplicationCall,
        request: AdmittedChat,
        reservation: ActiveReservation,
        stream: EngineEventStream,
    ): ResultCode {
        val first = (stream.next(request.progressTimeoutMilliseconds) as? EngineReadResult.Event)?.event
        if (first !is EngineEvent.Chunk) return ResultCode.TARGET_FAILED
        val firstAt = context.clock.now()
        context.metrics.recordTimeToFirstChunk(request.service.name.value, firstAt.millisecondsSince(request.arrivedAt))
        val meter =
            ResponseMeter(request.reservedTokens, request.maximumResponseTokens, request.chat.maximumPromptTokens)
        CallerResponse.open(call, request.key, request.chat) { response ->
            val relay = ResponseRelay(
                stream,
                response,
                meter,
                request.progressTimeoutMilliseconds,
                request.deadline,
                context.clock,
            )
            relayAndSettle(relay, first, request, reservation, response)
        }
        return ResultCode.COMPLETED
    }

    private suspend fun relayAndSettle(
        relay: ResponseRelay,
        first: EngineEvent.Chunk,
        request: AdmittedChat,
        reservation: ActiveReservation,
        response: CallerResponse,
    ) {
        var code = ResultCode.CALLER_LEFT
        var isDurable = false
        try {
            code = relay.relay(first)
        } catch (_: IOException) {
            trace(request, "The caller's connection broke.")
        } catch (cancelled: CancellationException) {
            trace(request, "The caller's call was cancelled.")
            throw cancelled
        } finally {
            isDurable = settleResponse(request, reservation, relay.chargedTokens, code)
        }
        when (code) {
            ResultCode.COMPLETED -> if (isDurable) response.finish() else response.fail(ResultCode.ANSWER_INTERRUPTED)
            ResultCode.CALLER_LEFT -> Unit
            else -> response.fail(code)
        }
    }

    private suspend fun settleResponse(
        request: AdmittedChat,
        reservation: ActiveReservation,
        charged: Long,
        code: ResultCode,
    ): Boolean {
        val isComplete = code == ResultCode.COMPLETED
        val outcome = if (isComplete) SettlementOutcome.COMPLETED else SettlementOutcome.INTERRUPTED
        val isDurable = settle(request, reservation, charged, outcome)
        context.metrics.countChargedTokens(request.service.name.value, charged)
        trace(request, "Settled at $charged of ${request.reservedTokens} reserved tokens.")
        recordResult(request, code)
        return isDurable
    }

    private suspend fun settle(
        request: AdmittedChat,
        reservation: ActiveReservation,
        charged: Long,
        outcome: SettlementOutcome,
    ) = context.settlements.settle(
        OwnerEvent.Settle(
            reservation.id,
            request.key,
            request.credentials.budget,
            reservation.holder,
            charged,
            outcome,
        ),
        request.deadline,
    )

    private fun recordResult(request: AdmittedChat, code: ResultCode) {
        context.metrics.countRequest(request.service.name.value, code)
        context.traces.end(request.key, context.clock.now(), code)
    }

    private fun trace(request: AdmittedChat, sentence: String) =
        context.traces.step(request.key, context.clock.now(), sentence)

    private companion object {
        const val UNKNOWN_SERVICE = "unknown"
        const val MAXIMUM_ATTEMPTS = 3
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}

/** A validated chat completion with the service, the limits and the deadlines that were determined on its arrival. */
internal class AdmittedChat(
    val key: RequestKey,
    val credentials: CallerCredentials,
    val chat: ChatRequest,
    val service: EngineService,
    val maximumResponseTokens: Long,
    val arrivedAt: Timestamp,
    private val waitUntil: Timestamp,
    val deadline: Timestamp,
    val progressTimeoutMilliseconds: Long,
) {
    /** The most tokens that the request can use. */
    val reservedTokens: Long get() = chat.maximumPromptTokens + maximumResponseTokens

    /** Returns the event that reserves [reservedTokens] for [entry] with the ID [reservationId]. */
    fun reserveEvent(entry: Incarnation, reservationId: ReservationId): OwnerEvent.Reserve = OwnerEvent.Reserve(
        reservation = reservationId,
        request = key,
        budget = credentials.budget,
        keyDigest = credentials.keyDigest,
        tokens = reservedTokens,
        entry = entry,
        waitUntil = waitUntil,
        deadline = deadline,
    )
}
