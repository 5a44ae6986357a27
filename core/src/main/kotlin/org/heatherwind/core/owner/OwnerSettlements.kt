package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.ledger.AttemptFinished
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.OpenRequest
import org.heatherwind.core.ledger.RequestSettled
import org.heatherwind.core.ledger.ReservationKey
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.result.ResultCode

/**
 * Settles a request. A repeated settlement is ignored while the first is being appended, and confirmed at once when the
 * ledger already contains it. The charge of a request admitted by this owner is limited to its reserved tokens.
 */
internal fun OwnerDraft.settle(event: OwnerEvent.Settle) {
    val key = ReservationKey(event.holder ?: holderOf(event.reservation), event.reservation)
    if (key in state.settling) return
    val admitted = admittedUnder(key)
    if (admitted == null && isAlreadySettled(event)) return confirmSettlement(key)
    val charged = if (admitted == null) maxOf(event.charged, 0) else event.charged.coerceIn(0, admitted.reserved)
    appendSettlement(RequestSettled(event.budget, key.holder, event.reservation, event.request, charged, event.outcome))
    event.attemptEnd?.let { append(AttemptFinished(it.attempt, event.reservation, it.outcome)) }
}

/**
 * Returns the holder that reserved the tokens, for an entry router that received no response: the one recorded in the
 * ledger, or else this owner.
 */
private fun OwnerDraft.holderOf(reservation: ReservationId): Incarnation =
    state.ledger.open.keys.firstOrNull { it.reservation == reservation }?.holder ?: state.holder

/** Appends [record] and, for a request admitted by this owner, commits its charge instead of its reserved tokens. */
internal fun OwnerDraft.appendSettlement(record: RequestSettled) {
    val key = ReservationKey(record.holder, record.reservation)
    val admitted = admittedUnder(key)
    state = state.copy(settling = state.settling.put(key, record))
    if (admitted != null) {
        state = state.copy(open = state.open.remove(record.reservation))
        updateBudgetState(record.budget) { copy(committed = committed - admitted.reserved + record.charged) }
    }
    append(record)
}

internal fun OwnerDraft.settleOwnReservation(
    reservation: ReservationId,
    admitted: AdmittedRequest,
    charged: Long,
    outcome: SettlementOutcome,
): Unit =
    appendSettlement(RequestSettled(admitted.budget, state.holder, reservation, admitted.request, charged, outcome))

/** Returns whether the settlement of [event] would not change the charge recorded for its request. */
private fun OwnerDraft.isAlreadySettled(event: OwnerEvent.Settle): Boolean {
    val settled = state.ledger.settled[event.request] ?: return false
    return settled.outcome == SettlementOutcome.COMPLETED || event.outcome != SettlementOutcome.COMPLETED
}

private fun OwnerDraft.admittedUnder(key: ReservationKey): AdmittedRequest? =
    if (key.holder == state.holder) state.open[key.reservation] else null

/** Refuses the requests whose claim was not read from the log by the time their response was due. */
internal fun OwnerDraft.expireClaims() {
    val expired = state.open.filter { it.value.isClaimPending && it.value.waitUntil <= now }
    for ((reservation, admitted) in expired) {
        settleOwnReservation(reservation, admitted, charged = 0, SettlementOutcome.NOT_RUN)
        admitted.claim?.let { append(AttemptFinished(it.attempt, reservation, AttemptOutcome.NotRun)) }
        respond(reservation, ReserveResponse.Refused(ResultCode.LOG_UNAVAILABLE))
    }
}

/**
 * Settles as interrupted, at their full reservation, the admitted requests that match [predicate]. Those whose claim is
 * still pending have not started and are refused by [expireClaims].
 */
internal fun OwnerDraft.interruptRequestsWhere(predicate: (AdmittedRequest) -> Boolean) {
    for ((reservation, admitted) in state.open.filter { !it.value.isClaimPending && predicate(it.value) }) {
        settleOwnReservation(reservation, admitted, admitted.reserved, SettlementOutcome.INTERRUPTED)
        admitted.claim?.let { append(AttemptFinished(it.attempt, reservation, AttemptOutcome.Unknown)) }
    }
}

/**
 * Settles as interrupted the open requests of holders that were declared gone, once their entry router is gone as well
 * or the grace period after their deadline has passed.
 */
internal fun OwnerDraft.settleForGoneHolders() {
    if (state.ledger.gone.isEmpty()) return
    val unattended = state.ledger.open.filter { (key, opened) ->
        key.holder in state.ledger.gone && key !in state.settling &&
            (opened.entry in state.ledger.gone || isOverdue(opened.deadline))
    }
    for ((key, opened) in unattended) {
        appendSettlement(interruptedSettlement(key, opened))
        opened.attempt?.let { append(AttemptFinished(it, key.reservation, AttemptOutcome.Unknown)) }
    }
}

private fun interruptedSettlement(key: ReservationKey, opened: OpenRequest) = RequestSettled(
    budget = opened.budget,
    holder = key.holder,
    reservation = key.reservation,
    request = opened.request,
    charged = opened.reserved,
    outcome = SettlementOutcome.INTERRUPTED,
)

internal fun OwnerDraft.confirmSettlement(key: ReservationKey) {
    effects += OwnerEffect.ConfirmSettlement(key.reservation)
}
