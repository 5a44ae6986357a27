package org.heatherwind.core.owner

import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.ledger.AttemptClaimed
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.OpenKey
import org.heatherwind.core.ledger.RequestOpened
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.result.ResultCode

internal fun OwnerDraft.reserve(event: OwnerEvent.Reserve) {
    val refusal = refusalOf(event)
    if (refusal != null) return answer(event.reservation, refusal)
    if (state.freeOf(event.budget) >= event.tokens) {
        admit(event, demanded = event.tokens)
        refillAhead(event.budget)
    } else {
        changeHolding(event.budget) {
            copy(demand = demand.plus(event.tokens, now), waiting = waiting.add(WaitingReserve(event)))
        }
        serveWaiting(event.budget)
    }
}

private fun OwnerDraft.refusalOf(event: OwnerEvent.Reserve): ReserveAnswer? {
    val account = state.ledger.budgets[event.budget]
    val code = when {
        account == null || event.keyDigest !in account.keyDigests -> ResultCode.KEY_NOT_ACCEPTED
        event.tokens <= 0 -> ResultCode.TOKEN_COUNT_OUT_OF_RANGE
        state.isClosed -> ResultCode.ROUTER_DRAINING
        isKnownRequest(event) -> ResultCode.REQUEST_IN_PROGRESS
        isAnswered(event.request) -> ResultCode.REQUEST_ALREADY_ANSWERED
        state.settling.size >= settings.maximumQueuedSettlements -> ResultCode.SETTLEMENT_QUEUE_FULL
        else -> null
    }
    return if (code != null) ReserveAnswer.Refused(code) else event.claim?.let(::recordedAnswer)
}

private fun OwnerDraft.isKnownRequest(event: OwnerEvent.Reserve): Boolean = event.request in state.running ||
    OpenKey(state.holder, event.reservation) in state.settling ||
    state.holdings[event.budget]?.waiting.orEmpty().any { it.event.request == event.request }

/** Whether the whole answer was sent by a router that still runs; one that died may not have sent its end. */
private fun OwnerDraft.isAnswered(request: RequestKey): Boolean {
    val settled = state.ledger.settled[request] ?: return false
    return settled.outcome == SettlementOutcome.COMPLETED && settled.entry !in state.ledger.gone
}

internal fun OwnerDraft.recordedAnswer(claim: AttemptClaim): ReserveAnswer? {
    val attempt = state.ledger.attempts[claim.attempt] ?: return null
    if (attempt.fingerprint != claim.fingerprint) return ReserveAnswer.Refused(ResultCode.IDEMPOTENCY_KEY_REUSED)
    return when (val outcome = attempt.outcome) {
        null -> ReserveAnswer.Refused(ResultCode.REQUEST_IN_PROGRESS)
        AttemptOutcome.Unknown -> ReserveAnswer.Refused(ResultCode.ATTEMPT_OUTCOME_UNKNOWN)
        AttemptOutcome.NotRun -> null
        is AttemptOutcome.Answered -> ReserveAnswer.Recorded(outcome)
    }
}

/** Admits [event]; [demanded] tokens of it are new to the forecast of demand. */
internal fun OwnerDraft.admit(event: OwnerEvent.Reserve, demanded: Long = 0) {
    val held = HeldRequest(
        request = event.request,
        budget = event.budget,
        reserved = event.tokens,
        entry = event.entry,
        waitUntil = event.waitUntil,
        deadline = event.deadline,
        claim = event.claim,
        isClaimPending = event.claim != null,
    )
    state = state.copy(
        open = state.open.put(event.reservation, held),
        running = state.running.put(event.request, event.reservation),
    )
    changeHolding(event.budget) {
        val forecast = if (demanded > 0) demand.plus(demanded, now) else demand
        copy(committed = committed + event.tokens, demand = forecast)
    }
    append(openedRecord(event))
    when (val claim = event.claim) {
        null -> answer(event.reservation, ReserveAnswer.Reserved(state.holder))
        else -> append(AttemptClaimed(claim.attempt, claim.fingerprint, event.reservation))
    }
}

private fun OwnerDraft.openedRecord(event: OwnerEvent.Reserve) = RequestOpened(
    budget = event.budget,
    holder = state.holder,
    reservation = event.reservation,
    request = event.request,
    reserved = event.tokens,
    entry = event.entry,
    deadline = event.deadline,
    attempt = event.claim?.attempt,
)
