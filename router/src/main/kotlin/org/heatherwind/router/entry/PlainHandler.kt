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
import org.heatherwind.core.owner.ReserveAnswer
import org.heatherwind.core.result.ResultCode

/** Serves calls of plain services. Non-idempotent ones run at most once, after their claim was read back. */
internal class PlainHandler(private val context: EntryContext, private val client: PlainClient) {
    suspend fun handle(call: ApplicationCall) {
        when (val prepared = prepare(call, context.clock.now())) {
            is Either.Left -> EntryError.respond(call, prepared.value)
            is Either.Right -> serve(call, prepared.value)
        }
    }

    private suspend fun prepare(call: ApplicationCall, arrivedAt: Timestamp): Either<ResultCode, PlainWork> = either {
        val service = ensureNotNull(context.plainServiceAt(call.request.path())) { ResultCode.UNKNOWN_MODEL }
        val credentials = call.credentials().bind()
        val callerKey = call.request.header(IDEMPOTENCY_HEADER)
        ensure(service.isIdempotent || !callerKey.isNullOrBlank()) { ResultCode.IDEMPOTENCY_KEY_MISSING }
        val body = call.bodyWithin(context.maximumBodyBytes).bind()
        val fingerprint = RequestIdentity.digestOf(body)
        val settings = context.settingsOf(service.name, arrivedAt)
        val isNamed = service.isIdempotent && callerKey != null
        PlainWork(
            key = if (isNamed) {
                context.identity.namedKey(
                    credentials.budget,
                    callerKey.orEmpty(),
                    fingerprint,
                )
            } else {
                context.identity.uniqueKey()
            },
            credentials = credentials,
            service = service,
            body = body,
            claim = callerKey?.takeIf { !service.isIdempotent }
                ?.let { AttemptClaim(context.identity.attemptKey(credentials.budget, it), fingerprint) },
            waitUntil = arrivedAt.plusMilliseconds(settings.reservationWaitMilliseconds.toLong()),
            deadline = arrivedAt.plusMilliseconds(settings.requestDeadlineSeconds * MILLISECONDS_PER_SECOND),
        )
    }

    private suspend fun serve(call: ApplicationCall, work: PlainWork) {
        trace(work, "Arrived for ${work.service.name}; price ${work.service.tokensPerCall} tokens.")
        val (reservation, answer) = context.owners.reserve(
            work.reservation(context.entry, context.identity.arrivalName()),
        )
        when (answer) {
            is ReserveAnswer.Reserved -> run(call, work, RunningGrant(answer.holder, reservation))
            is ReserveAnswer.Refused -> refuse(call, work, answer.code)
            is ReserveAnswer.Recorded -> replay(call, work, answer.outcome)
        }
    }

    private suspend fun refuse(call: ApplicationCall, work: PlainWork, code: ResultCode) {
        end(work, code)
        EntryError.respond(call, code, work.key)
    }

    private suspend fun replay(call: ApplicationCall, work: PlainWork, outcome: AttemptOutcome) {
        val answered = outcome as? AttemptOutcome.Answered
            ?: return refuse(call, work, ResultCode.ATTEMPT_OUTCOME_UNKNOWN)
        end(work, ResultCode.REPLAYED_OUTCOME)
        respond(call, work, answered, ResultCode.REPLAYED_OUTCOME)
    }

    private suspend fun run(call: ApplicationCall, work: PlainWork, grant: RunningGrant) {
        trace(work, "Reserved under the grant of ${grant.holder}.")
        val tried = mutableSetOf<TargetId>()
        var result: PlainResult = PlainResult.NotRun
        while (result is PlainResult.NotRun && tried.size < MAXIMUM_TRIES) {
            result = tryOnce(work, tried) ?: break
        }
        val isSafe = settle(work, grant, result)
        when (result) {
            is PlainResult.Answered -> if (isSafe) {
                end(work, ResultCode.COMPLETED)
                respond(call, work, result.outcome, ResultCode.COMPLETED)
            } else {
                refuse(call, work, ResultCode.ANSWER_INTERRUPTED)
            }

            PlainResult.NotRun -> refuse(call, work, ResultCode.TARGET_REFUSED)

            PlainResult.Unknown -> refuse(call, work, ResultCode.TARGET_FAILED)
        }
    }

    private suspend fun tryOnce(work: PlainWork, tried: MutableSet<TargetId>): PlainResult? {
        val left = work.deadline.millisecondsLeft(context.clock.now())
        val target = context.slots.take(work.service.targets, tried, left) ?: return null
        tried += target.name
        trace(work, "Sent to ${target.name}.")
        return try {
            client.call(target, work.service.path, work.key, work.body, left)
        } finally {
            context.slots.release(target.name)
        }
    }

    private suspend fun settle(work: PlainWork, grant: RunningGrant, result: PlainResult): Boolean {
        val price = work.service.tokensPerCall
        val event = when (result) {
            is PlainResult.Answered -> work.settlement(grant, price, SettlementOutcome.COMPLETED, result.outcome)
            PlainResult.NotRun -> work.settlement(grant, 0, SettlementOutcome.NOT_RUN, AttemptOutcome.NotRun)
            PlainResult.Unknown -> work.settlement(grant, price, SettlementOutcome.INTERRUPTED, AttemptOutcome.Unknown)
        }
        val isSafe = context.settlements.settle(event, work.deadline)
        trace(work, "Settled at ${event.charged} tokens.")
        return isSafe
    }

    private suspend fun respond(
        call: ApplicationCall,
        work: PlainWork,
        outcome: AttemptOutcome.Answered,
        code: ResultCode,
    ) {
        call.response.header(EntryError.CODE_HEADER, code.number.toString())
        call.response.header(EntryError.REQUEST_HEADER, work.key.value)
        call.respondText(outcome.body, ContentType.Application.Json, HttpStatusCode.fromValue(outcome.status))
    }

    private fun end(work: PlainWork, code: ResultCode) {
        context.metrics.countRequest(work.service.name.value, code)
        context.traces.end(work.key, context.clock.now(), code)
    }

    private fun trace(work: PlainWork, sentence: String) = context.traces.step(work.key, context.clock.now(), sentence)

    private companion object {
        const val MAXIMUM_TRIES = 3
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}

/** One call of a plain service with all that was decided about it on arrival. */
internal class PlainWork(
    val key: RequestKey,
    private val credentials: CallerCredentials,
    val service: PlainService,
    val body: String,
    private val claim: AttemptClaim?,
    private val waitUntil: Timestamp,
    val deadline: Timestamp,
) {
    fun reservation(entry: Incarnation, arrival: ReservationId): OwnerEvent.Reserve = OwnerEvent.Reserve(
        reservation = arrival,
        request = key,
        budget = credentials.budget,
        keyDigest = credentials.keyDigest,
        tokens = service.tokensPerCall,
        entry = entry,
        waitUntil = waitUntil,
        deadline = deadline,
        claim = claim,
    )

    fun settlement(
        grant: RunningGrant,
        charged: Long,
        outcome: SettlementOutcome,
        attemptOutcome: AttemptOutcome,
    ): OwnerEvent.Settle = OwnerEvent.Settle(
        reservation = grant.reservation,
        request = key,
        budget = credentials.budget,
        holder = grant.holder,
        charged = charged,
        outcome = outcome,
        attemptEnd = claim?.let { AttemptEnd(it.attempt, attemptOutcome) },
    )
}
