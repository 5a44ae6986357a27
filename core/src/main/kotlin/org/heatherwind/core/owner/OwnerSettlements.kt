package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.ledger.AttemptFinished
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.OpenKey
import org.heatherwind.core.ledger.OpenRequest
import org.heatherwind.core.ledger.RequestSettled
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.result.ResultCode

internal fun OwnerDraft.settle(event: OwnerEvent.Settle) {
    val key = OpenKey(event.holder ?: holderOf(event.reservation), event.reservation)
    if (key in state.settling) return
    val held = heldUnder(key)
    if (held == null && isAlreadyBilled(event)) return confirm(key)
    val charged = if (held == null) maxOf(event.charged, 0) else event.charged.coerceIn(0, held.reserved)
    close(RequestSettled(event.budget, key.holder, event.reservation, event.request, charged, event.outcome))
    event.attemptEnd?.let { append(AttemptFinished(it.attempt, event.reservation, it.outcome)) }
}

/** The holder that reserved, for an entry that got no answer: the one that the log names, or this home. */
private fun OwnerDraft.holderOf(reservation: ReservationId): Incarnation =
    state.ledger.open.keys.firstOrNull { it.reservation == reservation }?.holder ?: state.holder

internal fun OwnerDraft.close(record: RequestSettled) {
    val key = OpenKey(record.holder, record.reservation)
    val held = heldUnder(key)
    state = state.copy(settling = state.settling.put(key, record))
    if (held != null) {
        state = state.copy(open = state.open.remove(record.reservation))
        changeHolding(record.budget) { copy(committed = committed - held.reserved + record.charged) }
    }
    append(record)
}

internal fun OwnerDraft.closeOwn(
    reservation: ReservationId,
    held: HeldRequest,
    charged: Long,
    outcome: SettlementOutcome,
): Unit = close(RequestSettled(held.budget, state.holder, reservation, held.request, charged, outcome))

private fun OwnerDraft.isAlreadyBilled(event: OwnerEvent.Settle): Boolean {
    val billed = state.ledger.settled[event.request] ?: return false
    return billed.outcome == SettlementOutcome.COMPLETED || event.outcome != SettlementOutcome.COMPLETED
}

private fun OwnerDraft.heldUnder(key: OpenKey): HeldRequest? =
    if (key.holder == state.holder) state.open[key.reservation] else null

internal fun OwnerDraft.expireClaims() {
    val expired = state.open.filter { it.value.isClaimPending && it.value.waitUntil <= now }
    for ((reservation, held) in expired) {
        closeOwn(reservation, held, charged = 0, SettlementOutcome.NOT_RUN)
        held.claim?.let { append(AttemptFinished(it.attempt, reservation, AttemptOutcome.NotRun)) }
        answer(reservation, ReserveAnswer.Refused(ResultCode.LOG_UNAVAILABLE))
    }
}

internal fun OwnerDraft.interruptRequestsOf(predicate: (HeldRequest) -> Boolean) {
    for ((reservation, held) in state.open.filter { !it.value.isClaimPending && predicate(it.value) }) {
        closeOwn(reservation, held, held.reserved, SettlementOutcome.INTERRUPTED)
        held.claim?.let { append(AttemptFinished(it.attempt, reservation, AttemptOutcome.Unknown)) }
    }
}

internal fun OwnerDraft.settleForGoneHolders() {
    if (state.ledger.gone.isEmpty()) return
    val abandoned = state.ledger.open.filter { (key, opened) ->
        key.holder in state.ledger.gone && key !in state.settling &&
            (opened.entry in state.ledger.gone || isOverdue(opened.deadline))
    }
    for ((key, opened) in abandoned) {
        close(interruption(key, opened))
        opened.attempt?.let { append(AttemptFinished(it, key.reservation, AttemptOutcome.Unknown)) }
    }
}

private fun interruption(key: OpenKey, opened: OpenRequest) = RequestSettled(
    budget = opened.budget,
    holder = key.holder,
    reservation = key.reservation,
    request = opened.request,
    charged = opened.reserved,
    outcome = SettlementOutcome.INTERRUPTED,
)

internal fun OwnerDraft.confirm(key: OpenKey) {
    effects += OwnerEffect.AnswerSettle(key.reservation)
}
