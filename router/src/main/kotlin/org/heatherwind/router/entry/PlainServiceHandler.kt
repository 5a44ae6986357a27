package org.heatherwind.router.entry

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import org.heatherwind.core.configuration.PlainService
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.owner.AttemptClaim
import org.heatherwind.core.owner.AttemptEnd
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.ReserveResponse
import org.heatherwind.core.result.ResultCode

/**
 * Serves calls of plain services. A non-idempotent call runs at most once, and only after its claim was read back from
 * the log.
 */
internal class PlainServiceHandler(private val context: EntryContext, private val client: PlainServiceClient) {
    /** Serves [call] from arrival to the end of its response. */
    suspend fun handle(call: ApplicationCall) {
        when (val prepared = prepare(call, context.clock.now())) {
            is Either.Left -> ErrorResponse.respond(call, prepared.value)
            is Either.Right -> serve(call, prepared.value)
        }
    }

    private suspend fun prepare(call: ApplicationCall, arrivedAt: Timestamp): Either<ResultCode, AdmittedPlainCall> =
        either {
            val service = ensureNotNull(context.findPlainService(call.request.path())) { ResultCode.UNKNOWN_MODEL }
            val credentials = call.credentials().bind()
            val idempotencyKey = call.request.header(IDEMPOTENCY_HEADER)
            ensure(service.isIdempotent || !idempotencyKey.isNullOrBlank()) { ResultCode.IDEMPOTENCY_KEY_MISSING }
            val body = call.receiveBody(context.maximumBodyBytes).bind()
            val fingerprint = RequestIdentity.digestOf(body)
            val settings = context.settingsOf(service.name, arrivedAt)
            val isKeyedByCaller = service.isIdempotent && idempotencyKey != null
            AdmittedPlainCall(
                key = if (isKeyedByCaller) {
                    context.identity.requestKeyFor(
                        credentials.budget,
                        idempotencyKey.orEmpty(),
                        fingerprint,
                    )
                } else {
                    context.identity.newRequestKey()
                },
                credentials = credentials,
                service = service,
                body = body,
                claim = idempotencyKey?.takeIf { !service.isIdempotent }
                    ?.let { AttemptClaim(context.identity.attemptKeyFor(credentials.budget, it), fingerprint) },
                waitUntil = arrivedAt.plusMilliseconds(settings.reservationWaitMilliseconds.toLong()),
                deadline = arrivedAt.plusMilliseconds(settings.requestDeadlineSeconds * MILLISECONDS_PER_SECOND),
            )
        }

    private suspend fun serve(call: ApplicationCall, request: AdmittedPlainCall) {
        trace(request, "Arrived for ${request.service.name}; price ${request.service.tokensPerCall} tokens.")
        val (reservation, response) = context.owners.reserve(
            request.reserveEvent(context.entry, context.identity.newReservationId()),
        )
        when (response) {
            is ReserveResponse.Reserved -> run(call, request, ActiveReservation(response.holder, reservation))
            is ReserveResponse.Refused -> refuse(call, request, response.code)
            is ReserveResponse.Recorded -> replay(call, request, response.outcome)
        }
    }

    private suspend fun refuse(call: ApplicationCall, request: AdmittedPlainCall, code: ResultCode) {
        recordResult(request, code)
        ErrorResponse.respond(call, code, request.key)
    }

    private suspend fun replay(call: ApplicationCall, request: AdmittedPlainCall, outcome: AttemptOutcome) {
        val recorded = outcome as? AttemptOutcome.Answered
            ?: return refuse(call, request, ResultCode.ATTEMPT_OUTCOME_UNKNOWN)
        recordResult(request, ResultCode.REPLAYED_OUTCOME)
        respond(call, request, recorded, ResultCode.REPLAYED_OUTCOME)
    }

    private suspend fun run(call: ApplicationCall, request: AdmittedPlainCall, reservation: ActiveReservation) {
        trace(request, "Reserved under the grant of ${reservation.holder}.")
        val attemptedTargets = mutableSetOf<TargetId>()
        var result: PlainCallResult = PlainCallResult.NotRun
        while (result is PlainCallResult.NotRun && attemptedTargets.size < MAXIMUM_ATTEMPTS) {
            result = attemptTarget(request, attemptedTargets) ?: break
        }
        val isDurable = settle(request, reservation, result)
        when (result) {
            is PlainCallResult.Responded -> if (isDurable) {
                recordResult(request, ResultCode.COMPLETED)
                respond(call, request, result.outcome, ResultCode.COMPLETED)
            } else {
                refuse(call, request, ResultCode.ANSWER_INTERRUPTED)
            }

            PlainCallResult.NotRun -> refuse(call, request, ResultCode.TARGET_REFUSED)

            PlainCallResult.Unknown -> refuse(call, request, ResultCode.TARGET_FAILED)
        }
    }

    private suspend fun attemptTarget(
        request: AdmittedPlainCall,
        attemptedTargets: MutableSet<TargetId>,
    ): PlainCallResult? {
        val remainingMilliseconds = request.deadline.remainingMilliseconds(context.clock.now())
        val target =
            context.slots.acquire(request.service.targets, attemptedTargets, remainingMilliseconds) ?: return null
        attemptedTargets += target.name
        trace(request, "Sent to ${target.name}.")
        return try {
            client.call(target, request.service.path, request.key, request.body, remainingMilliseconds)
        } finally {
            context.slots.release(target.name)
        }
    }

    private suspend fun settle(
        request: AdmittedPlainCall,
        reservation: ActiveReservation,
        result: PlainCallResult,
    ): Boolean {
        val price = request.service.tokensPerCall
        val event = when (result) {
            is PlainCallResult.Responded ->
                request.settleEvent(reservation, price, SettlementOutcome.COMPLETED, result.outcome)

            PlainCallResult.NotRun ->
                request.settleEvent(reservation, 0, SettlementOutcome.NOT_RUN, AttemptOutcome.NotRun)

            PlainCallResult.Unknown ->
                request.settleEvent(reservation, price, SettlementOutcome.INTERRUPTED, AttemptOutcome.Unknown)
        }
        val isDurable = context.settlements.settle(event, request.deadline)
        trace(request, "Settled at ${event.charged} tokens.")
        return isDurable
    }

    private suspend fun respond(
        call: ApplicationCall,
        request: AdmittedPlainCall,
        outcome: AttemptOutcome.Answered,
        code: ResultCode,
    ) {
        call.response.header(ErrorResponse.CODE_HEADER, code.number.toString())
        call.response.header(ErrorResponse.REQUEST_HEADER, request.key.value)
        call.respondText(outcome.body, ContentType.Application.Json, HttpStatusCode.fromValue(outcome.status))
    }

    private fun recordResult(request: AdmittedPlainCall, code: ResultCode) {
        context.metrics.countRequest(request.service.name.value, code)
        context.traces.end(request.key, context.clock.now(), code)
    }

    private fun trace(request: AdmittedPlainCall, sentence: String) =
        context.traces.step(request.key, context.clock.now(), sentence)

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}

/** A validated call of a plain service with the claim and the deadlines that were determined on its arrival. */
internal class AdmittedPlainCall(
    val key: RequestKey,
    private val credentials: CallerCredentials,
    val service: PlainService,
    val body: String,
    private val claim: AttemptClaim?,
    private val waitUntil: Timestamp,
    val deadline: Timestamp,
) {
    /** Returns the event that reserves the service's price for [entry] with the ID [reservationId]. */
    fun reserveEvent(entry: Incarnation, reservationId: ReservationId): OwnerEvent.Reserve = OwnerEvent.Reserve(
        reservation = reservationId,
        request = key,
        budget = credentials.budget,
        keyDigest = credentials.keyDigest,
        tokens = service.tokensPerCall,
        entry = entry,
        waitUntil = waitUntil,
        deadline = deadline,
        claim = claim,
    )

    /** Returns the event that settles [reservation] at [charged] tokens. */
    fun settleEvent(
        reservation: ActiveReservation,
        charged: Long,
        outcome: SettlementOutcome,
        attemptOutcome: AttemptOutcome,
    ): OwnerEvent.Settle = OwnerEvent.Settle(
        reservation = reservation.id,
        request = key,
        budget = credentials.budget,
        holder = reservation.holder,
        charged = charged,
        outcome = outcome,
        attemptEnd = claim?.let { AttemptEnd(it.attempt, attemptOutcome) },
    )
}
