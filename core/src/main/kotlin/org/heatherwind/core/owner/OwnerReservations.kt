package org.heatherwind.core.owner

import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.ledger.AttemptClaimed
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.RequestOpened
import org.heatherwind.core.ledger.ReservationKey
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.result.ResultCode

internal fun OwnerDraft.reserve(event: OwnerEvent.Reserve) {
    val immediateResponse = immediateResponseTo(event)
    if (immediateResponse != null) return respond(event.reservation, immediateResponse)
    if (state.freeTokens(event.budget) >= event.tokens) {
        admit(event, demandTokens = event.tokens)
        requestRefill(event.budget)
    } else {
        updateBudgetState(event.budget) {
            copy(demand = demand.plus(event.tokens, now), waiting = waiting.add(WaitingReservation(event)))
        }
        admitWaiting(event.budget)
    }
}

/** Returns the response to [event] that is due without a reservation, or null when tokens must be reserved. */
private fun OwnerDraft.immediateResponseTo(event: OwnerEvent.Reserve): ReserveResponse? {
    val account = state.ledger.budgets[event.budget]
    val code = when {
        account == null || event.keyDigest !in account.keyDigests -> ResultCode.KEY_NOT_ACCEPTED
        event.tokens <= 0 -> ResultCode.TOKEN_COUNT_OUT_OF_RANGE
        state.refusesRequests -> ResultCode.ROUTER_DRAINING
        isRequestInProgress(event) -> ResultCode.REQUEST_IN_PROGRESS
        isResponseSent(event.request) -> ResultCode.REQUEST_ALREADY_ANSWERED
        state.settling.size >= settings.maximumQueuedSettlements -> ResultCode.SETTLEMENT_QUEUE_FULL
        else -> null
    }
    return if (code != null) ReserveResponse.Refused(code) else event.claim?.let(::recordedResponse)
}

private fun OwnerDraft.isRequestInProgress(event: OwnerEvent.Reserve): Boolean =
    event.request in state.reservationsByRequest ||
        ReservationKey(state.holder, event.reservation) in state.settling ||
        state.budgetStates[event.budget]?.waiting.orEmpty().any { it.event.request == event.request }

/**
 * Returns whether the whole response to [request] was sent by an entry router that has not been declared gone. An entry
 * router that was declared gone may have failed before it sent the end of the response.
 */
private fun OwnerDraft.isResponseSent(request: RequestKey): Boolean {
    val settled = state.ledger.settled[request] ?: return false
    return settled.outcome == SettlementOutcome.COMPLETED && settled.entry !in state.ledger.gone
}

/** Returns the response that follows from an earlier claim on the same attempt, or null when [claim] may proceed. */
internal fun OwnerDraft.recordedResponse(claim: AttemptClaim): ReserveResponse? {
    val attempt = state.ledger.attempts[claim.attempt] ?: return null
    if (attempt.fingerprint != claim.fingerprint) return ReserveResponse.Refused(ResultCode.IDEMPOTENCY_KEY_REUSED)
    return when (val outcome = attempt.outcome) {
        null -> ReserveResponse.Refused(ResultCode.REQUEST_IN_PROGRESS)
        AttemptOutcome.Unknown -> ReserveResponse.Refused(ResultCode.ATTEMPT_OUTCOME_UNKNOWN)
        AttemptOutcome.NotRun -> null
        is AttemptOutcome.Answered -> ReserveResponse.Recorded(outcome)
    }
}

/**
 * Reserves the tokens of [event]. [demandTokens] are added to the demand forecast: 0 for a reservation that had to
 * wait, whose demand was added on arrival. A request with a claim may run only once the claim is read from the log.
 */
internal fun OwnerDraft.admit(event: OwnerEvent.Reserve, demandTokens: Long = 0) {
    val admitted = AdmittedRequest(
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
        open = state.open.put(event.reservation, admitted),
        reservationsByRequest = state.reservationsByRequest.put(event.request, event.reservation),
    )
    updateBudgetState(event.budget) {
        val forecast = if (demandTokens > 0) demand.plus(demandTokens, now) else demand
        copy(committed = committed + event.tokens, demand = forecast)
    }
    append(openedRecord(event))
    when (val claim = event.claim) {
        null -> respond(event.reservation, ReserveResponse.Reserved(state.holder))
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
