package org.heatherwind.core.owner

import kotlinx.collections.immutable.mutate
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.LedgerEvent
import org.heatherwind.core.ledger.LedgerFold
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.RequestSettled
import org.heatherwind.core.ledger.ReservationKey
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.result.ResultCode

/**
 * Applies a batch read from the shard's stream: first each ledger event in order, then, once per changed budget, the
 * admission of waiting reservations and the return of surplus tokens.
 */
internal fun OwnerDraft.applyBatch(event: OwnerEvent.BatchRead) {
    val folded = LedgerFold.fold(state.ledger, event.offset, event.batch)
    state = state.copy(ledger = folded.state)
    folded.events.forEach { handleLedgerEvent(it) }
    folded.events.filterIsInstance<LedgerEvent.BudgetChanged>().map { it.budget }.distinct()
        .forEach { handleBudgetChange(it) }
}

private fun OwnerDraft.handleLedgerEvent(event: LedgerEvent) = when (event) {
    is LedgerEvent.BudgetChanged -> Unit
    is LedgerEvent.GrantRequestApplied -> handleGrantRequestApplied(event)
    is LedgerEvent.ReturnApplied -> handleReturnApplied(event)
    is LedgerEvent.SettlementRead -> handleSettlementRead(event)
    is LedgerEvent.ClaimDecided -> handleClaimDecided(event)
    is LedgerEvent.HolderQuarantined -> interruptRequestsWhere { it.entry == event.holder }
}

private fun OwnerDraft.handleGrantRequestApplied(event: LedgerEvent.GrantRequestApplied) {
    if (event.holder != state.holder) return
    updateBudgetState(event.budget) {
        copy(
            hasUnreadGrantRequest = false,
            waiting = waiting.mutate { reservations ->
                reservations.replaceAll { it.copy(isGrantRequestApplied = it.isGrantRequestAppended) }
            },
        )
    }
}

private fun OwnerDraft.handleReturnApplied(event: LedgerEvent.ReturnApplied) {
    if (event.holder == state.holder) updateBudgetState(event.budget) { copy(committed = committed - event.tokens) }
}

private fun OwnerDraft.handleSettlementRead(event: LedgerEvent.SettlementRead) {
    val record = event.record
    val settling = state.settling[ReservationKey(record.holder, record.reservation)]
    when {
        settling == record -> completeSettlement(settling)
        record.holder == state.holder -> discardAdmitted(record.reservation)
    }
}

/** Removes a settlement of this owner that was read from the log, and confirms it to the entry router. */
private fun OwnerDraft.completeSettlement(record: RequestSettled) {
    val key = ReservationKey(record.holder, record.reservation)
    state = state.copy(settling = state.settling.remove(key))
    removeRequest(record.request, record.reservation)
    if (record.holder == state.holder) updateBudgetState(record.budget) { copy(committed = committed - record.charged) }
    confirmSettlement(key)
}

/** Removes an admitted request that another router settled, and frees its tokens. */
private fun OwnerDraft.discardAdmitted(reservation: ReservationId) {
    val admitted = state.open[reservation] ?: return
    state = state.copy(open = state.open.remove(reservation))
    removeRequest(admitted.request, reservation)
    updateBudgetState(admitted.budget) { copy(committed = committed - admitted.reserved) }
}

private fun OwnerDraft.removeRequest(request: RequestKey, reservation: ReservationId) {
    if (state.reservationsByRequest[request] == reservation) {
        state = state.copy(reservationsByRequest = state.reservationsByRequest.remove(request))
    }
}

private fun OwnerDraft.handleClaimDecided(event: LedgerEvent.ClaimDecided) {
    val admitted = state.open[event.reservation] ?: return
    if (!admitted.isClaimPending) return
    if (event.isAccepted) {
        state = state.copy(open = state.open.put(event.reservation, admitted.copy(isClaimPending = false)))
        respond(event.reservation, ReserveResponse.Reserved(state.holder))
    } else {
        val recorded = admitted.claim?.let { recordedResponse(it) }
        settleOwnReservation(event.reservation, admitted, charged = 0, SettlementOutcome.NOT_RUN)
        respond(event.reservation, recorded ?: ReserveResponse.Refused(ResultCode.REQUEST_IN_PROGRESS))
    }
}

private fun OwnerDraft.handleBudgetChange(budget: BudgetId) {
    admitWaiting(budget)
    withdrawUnneededGrantRequest(budget)
    returnSurplus(budget)
}

/**
 * Continues from [ledger], which was reached without reading all the batches before it. Grant returns in the skipped
 * batches stay counted as committed, because it is not known which of them were applied; this owner can no longer use
 * those tokens, but they cannot be spent twice.
 */
internal fun OwnerDraft.replaceLedger(ledger: LedgerState) {
    if (ledger.through <= state.ledger.through) return
    state = state.copy(ledger = ledger)
    state.settling.values.filter { isApplied(it) }.forEach { completeSettlement(it) }
    for ((reservation, admitted) in state.open) {
        val attempt = admitted.claim?.let { ledger.attempts[it.attempt] } ?: continue
        val isClaimable = attempt.reservation != reservation && attempt.outcome == AttemptOutcome.NotRun
        if (isClaimable) continue
        handleClaimDecided(
            LedgerEvent.ClaimDecided(
                admitted.claim.attempt,
                reservation,
                isAccepted = attempt.reservation == reservation,
            ),
        )
    }
    interruptRequestsWhere { it.entry in ledger.gone }
    for (budget in state.budgetStates.keys) {
        updateBudgetState(budget) { copy(hasUnreadGrantRequest = false) }
        handleBudgetChange(budget)
    }
}

/** Returns whether the ledger contains the charge of [record], or would not change when it is applied. */
private fun OwnerDraft.isApplied(record: RequestSettled): Boolean {
    if (record.outcome == SettlementOutcome.NOT_RUN) return true
    val settled = state.ledger.settled[record.request] ?: return false
    return settled.outcome == SettlementOutcome.COMPLETED || settled.outcome == record.outcome
}
