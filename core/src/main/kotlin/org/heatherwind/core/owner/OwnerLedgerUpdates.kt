package org.heatherwind.core.owner

import kotlinx.collections.immutable.mutate
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.LedgerEvent
import org.heatherwind.core.ledger.LedgerFold
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.OpenKey
import org.heatherwind.core.ledger.RequestSettled
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.result.ResultCode

internal fun OwnerDraft.read(event: OwnerEvent.BatchRead) {
    val folded = LedgerFold.fold(state.ledger, event.offset, event.batch)
    state = state.copy(ledger = folded.state)
    folded.events.forEach { react(it) }
    folded.events.filterIsInstance<LedgerEvent.BudgetChanged>().map { it.budget }.distinct()
        .forEach { afterBudgetChange(it) }
}

private fun OwnerDraft.react(event: LedgerEvent) = when (event) {
    is LedgerEvent.BudgetChanged -> Unit
    is LedgerEvent.GrantRequestApplied -> reactToWant(event)
    is LedgerEvent.ReturnApplied -> reactToReturn(event)
    is LedgerEvent.SettlementApplied -> reactToSettlement(event)
    is LedgerEvent.ClaimDecided -> reactToClaim(event)
    is LedgerEvent.HolderQuarantined -> interruptRequestsOf { it.entry == event.holder }
}

private fun OwnerDraft.reactToWant(event: LedgerEvent.GrantRequestApplied) {
    if (event.holder != state.holder) return
    changeHolding(event.budget) {
        copy(
            isGrantRequestPending = false,
            waiting = waiting.mutate { asked ->
                asked.replaceAll { it.copy(isChecked = it.isAsked) }
            },
        )
    }
}

private fun OwnerDraft.reactToReturn(event: LedgerEvent.ReturnApplied) {
    if (event.holder == state.holder) changeHolding(event.budget) { copy(committed = committed - event.tokens) }
}

private fun OwnerDraft.reactToSettlement(event: LedgerEvent.SettlementApplied) {
    val record = event.record
    val settling = state.settling[OpenKey(record.holder, record.reservation)]
    when {
        settling == record -> finishSettling(settling)
        record.holder == state.holder -> dropHeld(record.reservation)
    }
}

private fun OwnerDraft.finishSettling(record: RequestSettled) {
    val key = OpenKey(record.holder, record.reservation)
    state = state.copy(settling = state.settling.remove(key))
    forgetRunning(record.request, record.reservation)
    if (record.holder == state.holder) changeHolding(record.budget) { copy(committed = committed - record.charged) }
    confirm(key)
}

private fun OwnerDraft.dropHeld(reservation: ReservationId) {
    val held = state.open[reservation] ?: return
    state = state.copy(open = state.open.remove(reservation))
    forgetRunning(held.request, reservation)
    changeHolding(held.budget) { copy(committed = committed - held.reserved) }
}

private fun OwnerDraft.forgetRunning(request: RequestKey, reservation: ReservationId) {
    if (state.running[request] == reservation) state = state.copy(running = state.running.remove(request))
}

private fun OwnerDraft.reactToClaim(event: LedgerEvent.ClaimDecided) {
    val held = state.open[event.reservation] ?: return
    if (!held.isClaimPending) return
    if (event.won) {
        state = state.copy(open = state.open.put(event.reservation, held.copy(isClaimPending = false)))
        answer(event.reservation, ReserveAnswer.Reserved(state.holder))
    } else {
        val recorded = held.claim?.let { recordedAnswer(it) }
        closeOwn(event.reservation, held, charged = 0, SettlementOutcome.NOT_RUN)
        answer(event.reservation, recorded ?: ReserveAnswer.Refused(ResultCode.REQUEST_IN_PROGRESS))
    }
}

private fun OwnerDraft.afterBudgetChange(budget: BudgetId) {
    serveWaiting(budget)
    withdrawIfIdle(budget)
    giveBackSurplus(budget)
}

/** Goes on from [ledger]. Returns that were folded unseen stay committed here: stranded, and never spent. */
internal fun OwnerDraft.replaceLedger(ledger: LedgerState) {
    if (ledger.through <= state.ledger.through) return
    state = state.copy(ledger = ledger)
    state.settling.values.filter { isFolded(it) }.forEach { finishSettling(it) }
    for ((reservation, held) in state.open) {
        val attempt = held.claim?.let { ledger.attempts[it.attempt] } ?: continue
        val isOpenToClaims = attempt.reservation != reservation && attempt.outcome == AttemptOutcome.NotRun
        if (isOpenToClaims) continue
        reactToClaim(
            LedgerEvent.ClaimDecided(held.claim.attempt, reservation, won = attempt.reservation == reservation),
        )
    }
    interruptRequestsOf { it.entry in ledger.gone }
    for (budget in state.holdings.keys) {
        changeHolding(budget) { copy(isGrantRequestPending = false) }
        afterBudgetChange(budget)
    }
}

/** Whether [record] was folded, or will change nothing when it is. */
private fun OwnerDraft.isFolded(record: RequestSettled): Boolean {
    if (record.outcome == SettlementOutcome.NOT_RUN) return true
    val settled = state.ledger.settled[record.request] ?: return false
    return settled.outcome == SettlementOutcome.COMPLETED || settled.outcome == record.outcome
}
