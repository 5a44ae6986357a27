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
import org.heatherwind.core.owner.ReserveAnswer
import org.heatherwind.core.result.ResultCode
import java.io.IOException

/** Serves chat completions: reserve, send to an engine, pass the answer on, settle, end. */
internal class ChatHandler(private val context: EntryContext, private val engines: EngineClient) {
    suspend fun handle(call: ApplicationCall) {
        val arrivedAt = context.clock.now()
        when (val prepared = prepare(call, arrivedAt)) {
            is Either.Left -> {
                context.metrics.countRequest(UNKNOWN_SERVICE, prepared.value)
                EntryError.respond(call, prepared.value)
            }

            is Either.Right -> serve(call, prepared.value)
        }
    }

    private suspend fun prepare(call: ApplicationCall, arrivedAt: Timestamp): Either<ResultCode, ChatWork> = either {
        val credentials = call.credentials().bind()
        val body = call.bodyWithin(context.maximumBodyBytes).bind()
        val chat = ChatRequest.parse(body).bind()
        val service = ensureNotNull(context.engineServiceOf(chat.model)) { ResultCode.UNKNOWN_MODEL }
        val settings = context.settingsOf(service.name, arrivedAt)
        val limit = settings.maximumAnswerTokens.toLong()
        val callerKey = call.request.header(IDEMPOTENCY_HEADER)
        val key = when (callerKey) {
            null -> context.identity.uniqueKey()
            else -> context.identity.namedKey(credentials.budget, callerKey, RequestIdentity.digestOf(body))
        }
        ChatWork(
            key = key,
            credentials = credentials,
            chat = chat,
            service = service,
            answerTokens = minOf(chat.maximumAnswerTokens ?: limit, limit),
            arrivedAt = arrivedAt,
            waitUntil = arrivedAt.plusMilliseconds(settings.reservationWaitMilliseconds.toLong()),
            deadline = arrivedAt.plusMilliseconds(settings.requestDeadlineSeconds * MILLISECONDS_PER_SECOND),
            progressMilliseconds = settings.progressDeadlineSeconds * MILLISECONDS_PER_SECOND,
        )
    }

    private suspend fun serve(call: ApplicationCall, work: ChatWork) {
        trace(
            work,
            "Arrived for ${work.service.name}; worst case ${work.reserved} tokens of ${work.credentials.budget}.",
        )
        val (reservation, answer) = context.owners.reserve(
            work.reservation(context.entry, context.identity.arrivalName()),
        )
        when (answer) {
            is ReserveAnswer.Reserved -> run(call, work, RunningGrant(answer.holder, reservation))
            is ReserveAnswer.Refused -> refuse(call, work, answer.code)
            is ReserveAnswer.Recorded -> refuse(call, work, ResultCode.REQUEST_ALREADY_ANSWERED)
        }
    }

    private suspend fun refuse(call: ApplicationCall, work: ChatWork, code: ResultCode) {
        end(work, code)
        EntryError.respond(call, code, work.key)
    }

    private suspend fun run(call: ApplicationCall, work: ChatWork, grant: RunningGrant) {
        trace(work, "Reserved under the grant of ${grant.holder}.")
        val tried = mutableSetOf<TargetId>()
        var refusal = ResultCode.NO_TARGET_FREE
        while (tried.size < MAXIMUM_TRIES) {
            val code = tryOnce(call, work, grant, tried) ?: break
            if (code == ResultCode.COMPLETED) return
            if (refusal.isNotRun) refusal = code
            if (tried.size < MAXIMUM_TRIES) context.metrics.countRetry(work.service.name.value)
        }
        val outcome = if (refusal.isNotRun) SettlementOutcome.NOT_RUN else SettlementOutcome.INTERRUPTED
        settle(work, grant, charged = 0, outcome)
        refuse(call, work, refusal)
    }

    /** The code of a try after which another target may be tried, COMPLETED when an answer was begun, or null. */
    private suspend fun tryOnce(
        call: ApplicationCall,
        work: ChatWork,
        grant: RunningGrant,
        tried: MutableSet<TargetId>,
    ): ResultCode? {
        val wait = work.deadline.millisecondsLeft(context.clock.now())
        val target = context.slots.take(work.service.targets, tried, wait) ?: return null
        tried += target.name
        trace(work, "Sent to ${target.name}.")
        return try {
            engines.stream(target, work.key, work.chat.forEngine(work.answerTokens)) { start ->
                when (start) {
                    is EngineStart.Refused -> ResultCode.TARGET_REFUSED
                    is EngineStart.Rejected -> ResultCode.TARGET_REFUSED
                    is EngineStart.Failed -> ResultCode.TARGET_FAILED
                    is EngineStart.Streaming -> relay(call, work, grant, start.stream)
                }
            }
        } finally {
            context.slots.release(target.name)
        }
    }

    private suspend fun relay(
        call: ApplicationCall,
        work: ChatWork,
        grant: RunningGrant,
        stream: EngineStream,
    ): ResultCode {
        val first = (stream.next(work.progressMilliseconds) as? EngineRead.Event)?.event
        if (first !is EngineEvent.Piece) return ResultCode.TARGET_FAILED
        val firstAt = context.clock.now()
        context.metrics.observeFirstToken(work.service.name.value, firstAt.millisecondsSince(work.arrivedAt))
        val meter = AnswerMeter(work.reserved, work.answerTokens, work.chat.worstPromptTokens)
        CallerResponse.open(call, work.key, work.chat) { answer ->
            val relay = AnswerRelay(stream, answer, meter, work.progressMilliseconds, work.deadline, context.clock)
            passOn(relay, first, work, grant, answer)
        }
        return ResultCode.COMPLETED
    }

    private suspend fun passOn(
        relay: AnswerRelay,
        first: EngineEvent.Piece,
        work: ChatWork,
        grant: RunningGrant,
        answer: CallerResponse,
    ) {
        var code = ResultCode.CALLER_LEFT
        var isSafe = false
        try {
            code = relay.passOn(first)
        } catch (_: IOException) {
            trace(work, "The caller's connection broke.")
        } catch (cancelled: CancellationException) {
            trace(work, "The caller's call was cancelled.")
            throw cancelled
        } finally {
            isSafe = settleEnd(work, grant, relay.charged, code)
        }
        when (code) {
            ResultCode.COMPLETED -> if (isSafe) answer.finish() else answer.fail(ResultCode.ANSWER_INTERRUPTED)
            ResultCode.CALLER_LEFT -> Unit
            else -> answer.fail(code)
        }
    }

    private suspend fun settleEnd(work: ChatWork, grant: RunningGrant, charged: Long, code: ResultCode): Boolean {
        val isWhole = code == ResultCode.COMPLETED
        val isSafe =
            settle(work, grant, charged, if (isWhole) SettlementOutcome.COMPLETED else SettlementOutcome.INTERRUPTED)
        context.metrics.countTokens(work.service.name.value, charged)
        trace(work, "Settled at $charged of ${work.reserved} reserved tokens.")
        end(work, code)
        return isSafe
    }

    private suspend fun settle(work: ChatWork, grant: RunningGrant, charged: Long, outcome: SettlementOutcome) =
        context.settlements.settle(
            OwnerEvent.Settle(grant.reservation, work.key, work.credentials.budget, grant.holder, charged, outcome),
            work.deadline,
        )

    private fun end(work: ChatWork, code: ResultCode) {
        context.metrics.countRequest(work.service.name.value, code)
        context.traces.end(work.key, context.clock.now(), code)
    }

    private fun trace(work: ChatWork, sentence: String) = context.traces.step(work.key, context.clock.now(), sentence)

    private companion object {
        const val UNKNOWN_SERVICE = "unknown"
        const val MAXIMUM_TRIES = 3
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}

/** One chat completion with all that was decided about it on arrival. Token counts are tokens. */
internal class ChatWork(
    val key: RequestKey,
    val credentials: CallerCredentials,
    val chat: ChatRequest,
    val service: EngineService,
    val answerTokens: Long,
    val arrivedAt: Timestamp,
    private val waitUntil: Timestamp,
    val deadline: Timestamp,
    val progressMilliseconds: Long,
) {
    /** The most that the request can use. */
    val reserved: Long get() = chat.worstPromptTokens + answerTokens

    fun reservation(entry: Incarnation, arrival: ReservationId): OwnerEvent.Reserve = OwnerEvent.Reserve(
        reservation = arrival,
        request = key,
        budget = credentials.budget,
        keyDigest = credentials.keyDigest,
        tokens = reserved,
        entry = entry,
        waitUntil = waitUntil,
        deadline = deadline,
    )
}
