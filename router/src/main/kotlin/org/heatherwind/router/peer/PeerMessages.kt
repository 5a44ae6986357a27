package org.heatherwind.router.peer

import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.owner.AttemptClaim
import org.heatherwind.core.owner.AttemptEnd
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.ReserveResponse
import org.heatherwind.core.result.ResultCode
import org.heatherwind.protocol.peer.Claim
import org.heatherwind.protocol.peer.RecordedAnswer
import org.heatherwind.protocol.peer.ReserveReply
import org.heatherwind.protocol.peer.ReserveRequest
import org.heatherwind.protocol.peer.SettleRequest
import org.heatherwind.protocol.peer.AttemptEnd as AttemptEndMessage

/** The code of a [ReserveReply] that confirms a reservation; no [ResultCode] has this number. */
private const val RESERVED_CODE_NUMBER = 0

internal fun OwnerEvent.Reserve.toMessage(shard: Int): ReserveRequest {
    val builder = ReserveRequest.newBuilder()
        .setShard(shard)
        .setReservation(reservation.value)
        .setRequest(request.value)
        .setBudget(budget.value)
        .setKeyDigest(keyDigest.hexadecimal)
        .setTokens(tokens)
        .setEntry(entry.value)
        .setWaitUntil(waitUntil.epochMilliseconds)
        .setDeadline(deadline.epochMilliseconds)
    claim?.let {
        builder.setClaim(Claim.newBuilder().setAttempt(it.attempt.value).setFingerprint(it.fingerprint.hexadecimal))
    }
    return builder.build()
}

internal fun ReserveRequest.toEvent(): OwnerEvent.Reserve = OwnerEvent.Reserve(
    reservation = ReservationId(reservation),
    request = RequestKey(request),
    budget = BudgetId(budget),
    keyDigest = Digest(keyDigest),
    tokens = tokens,
    entry = Incarnation(entry),
    waitUntil = Timestamp(waitUntil),
    deadline = Timestamp(deadline),
    claim = if (hasClaim()) AttemptClaim(AttemptKey(claim.attempt), Digest(claim.fingerprint)) else null,
)

internal fun ReserveResponse.toMessage(): ReserveReply = when (this) {
    is ReserveResponse.Reserved -> ReserveReply.newBuilder().setCode(RESERVED_CODE_NUMBER).setHolder(holder.value)

    is ReserveResponse.Refused -> ReserveReply.newBuilder().setCode(code.number)

    is ReserveResponse.Recorded ->
        ReserveReply.newBuilder().setCode(ResultCode.REPLAYED_OUTCOME.number).also { builder ->
            (outcome as? AttemptOutcome.Answered)?.let { builder.setRecorded(it.toMessage()) }
        }
}.build()

internal fun ReserveReply.toReserveResponse(): ReserveResponse = when (code) {
    RESERVED_CODE_NUMBER -> ReserveResponse.Reserved(Incarnation(holder))

    ResultCode.REPLAYED_OUTCOME.number -> ReserveResponse.Recorded(
        AttemptOutcome.Answered(recorded.status, recorded.body),
    )

    else -> ReserveResponse.Refused(ResultCode.ofNumber(code) ?: ResultCode.HOME_UNREACHABLE)
}

internal fun OwnerEvent.Settle.toMessage(shard: Int): SettleRequest {
    val builder = SettleRequest.newBuilder()
        .setShard(shard)
        .setReservation(reservation.value)
        .setRequest(request.value)
        .setBudget(budget.value)
        .setHolder(holder?.value.orEmpty())
        .setCharged(charged)
        .setOutcome(outcome.ordinal) // the order of the SettlementOutcome entries is part of the protocol
    attemptEnd?.let { builder.setAttemptEnd(it.toMessage()) }
    return builder.build()
}

internal fun SettleRequest.toEvent(): OwnerEvent.Settle = OwnerEvent.Settle(
    reservation = ReservationId(reservation),
    request = RequestKey(request),
    budget = BudgetId(budget),
    holder = holder.ifEmpty { null }?.let(::Incarnation),
    charged = charged,
    outcome = SettlementOutcome.entries.getOrElse(outcome) { SettlementOutcome.INTERRUPTED },
    attemptEnd = if (hasAttemptEnd()) attemptEnd.toAttemptEnd() else null,
)

private fun AttemptOutcome.Answered.toMessage() = RecordedAnswer.newBuilder().setStatus(status).setBody(body)

private fun AttemptEnd.toMessage(): AttemptEndMessage {
    val builder = AttemptEndMessage.newBuilder().setAttempt(attempt.value)
    when (val end = outcome) {
        is AttemptOutcome.Answered -> builder.setAnswered(end.toMessage())
        AttemptOutcome.NotRun -> builder.setNotRun(true)
        AttemptOutcome.Unknown -> Unit
    }
    return builder.build()
}

private fun AttemptEndMessage.toAttemptEnd(): AttemptEnd {
    val outcome = when {
        hasAnswered() -> AttemptOutcome.Answered(answered.status, answered.body)
        notRun -> AttemptOutcome.NotRun
        else -> AttemptOutcome.Unknown
    }
    return AttemptEnd(AttemptKey(attempt), outcome)
}
