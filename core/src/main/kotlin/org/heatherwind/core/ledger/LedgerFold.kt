package org.heatherwind.core.ledger

import kotlinx.collections.immutable.PersistentMap
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Incarnation

/**
 * Folds batches of a shard's stream into its state. A batch at or below the state's offset, and a repeat of a writer's
 * batch, change nothing but the offset. A record that names an unknown budget changes nothing.
 */
public object LedgerFold {
    /** [state] after the batch at [offset]. */
    public fun fold(state: LedgerState, offset: Long, batch: LedgerBatch): FoldResult {
        if (offset <= state.through) return FoldResult(state, emptyList())
        if (batch.sequence <= (state.writers[batch.writer] ?: 0)) {
            return FoldResult(state.copy(through = offset), emptyList())
        }
        val numbered = state.copy(through = offset, writers = state.writers.put(batch.writer, batch.sequence))
        val events = mutableListOf<LedgerEvent>()
        val folded = batch.records.fold(numbered) { current, record -> current.after(record, events) }
        return FoldResult(folded, events)
    }

    private fun LedgerState.after(record: LedgerRecord, events: MutableList<LedgerEvent>): LedgerState = when (record) {
        is BudgetCreated -> afterCreation(record)
        is KeyAdded -> changingBudget(record.budget, events) { copy(keyDigests = keyDigests.add(record.keyDigest)) }
        is ToppedUp -> changingBudget(record.budget, events) { afterTopUp(record) }
        is GrantRequested -> afterWant(record, events)
        is GrantReturned -> afterReturn(record, events)
        is RequestOpened -> afterOpening(record)
        is RequestSettled -> afterSettlement(record, events)
        is AttemptClaimed -> afterClaim(record, events)
        is AttemptFinished -> afterFinish(record)
        is HolderGone -> afterHolderGone(record, events)
        is HolderReleased -> afterRelease(record, events)
        is SnapshotTaken -> this
    }

    private fun LedgerState.afterCreation(record: BudgetCreated): LedgerState = if (record.budget in
        budgets
    ) {
        this
    } else {
        copy(budgets = budgets.put(record.budget, BudgetAccount(record.customer)))
    }

    private fun BudgetAccount.afterTopUp(record: ToppedUp): BudgetAccount = when {
        record.topUpKey in topUpKeys -> this
        record.tokens <= 0 || record.tokens > Long.MAX_VALUE / 2 - prepaid -> this
        else -> copy(prepaid = prepaid + record.tokens, topUpKeys = topUpKeys.add(record.topUpKey))
    }

    private fun LedgerState.afterWant(record: GrantRequested, events: MutableList<LedgerEvent>): LedgerState {
        if (record.holder in gone) return this
        events += LedgerEvent.GrantRequestApplied(record.budget, record.holder)
        return changingBudget(record.budget, events) {
            val stated = copy(demand = demand.put(record.holder, record.demandPerMinute))
            val isWithdrawal = record.wanted <= 0
            val want = PendingGrantRequest(
                wanted = maxOf(record.wanted, record.atLeast),
                atLeast = maxOf(record.atLeast, 1),
            )
            val others = stated.pendingRequests.remove(record.holder)
            stated.copy(pendingRequests = if (isWithdrawal) others else others.put(record.holder, want))
        }
    }

    private fun LedgerState.afterReturn(record: GrantReturned, events: MutableList<LedgerEvent>): LedgerState {
        events += LedgerEvent.ReturnApplied(record.budget, record.holder, record.tokens)
        return changingBudget(record.budget, events) { releasing(record.holder, record.tokens) }
    }

    private fun LedgerState.afterOpening(record: RequestOpened): LedgerState {
        val opened = OpenRequest(
            request = record.request,
            budget = record.budget,
            reserved = record.reserved,
            entry = record.entry,
            deadline = record.deadline,
            attempt = record.attempt,
        )
        return copy(open = open.put(ReservationKey(record.holder, record.reservation), opened))
    }

    private fun LedgerState.afterSettlement(record: RequestSettled, events: MutableList<LedgerEvent>): LedgerState {
        val closed = copy(open = open.remove(ReservationKey(record.holder, record.reservation)))
        val applied = isBillable(record)
        events += LedgerEvent.SettlementApplied(record, applied)
        if (!applied) return closed.changingBudget(record.budget, events) { this }
        val billed = settled[record.request]?.charged ?: 0
        val charged = chargeOf(record)
        return closed
            .copy(
                settled = settled.put(
                    record.request,
                    SettledRequest(record.outcome, charged, record.reservation.entry),
                ),
            )
            .changingBudget(record.budget, events) { billing(record.holder, billed, charged) }
    }

    /**
     * An interruption is charged its worst case, but no more than its grant has left: the holder may have used again
     * what a request of its own left over, and its requests together never use more than the grant.
     */
    private fun LedgerState.chargeOf(record: RequestSettled): Long = when (record.outcome) {
        SettlementOutcome.INTERRUPTED ->
            minOf(record.charged, budgets.getValue(record.budget).remainingOf(record.holder))

        SettlementOutcome.COMPLETED, SettlementOutcome.NOT_RUN -> record.charged
    }

    private fun LedgerState.isBillable(record: RequestSettled): Boolean {
        if (record.budget !in budgets || record.charged < 0) return false
        val earlier = settled[record.request]?.outcome
        return when (record.outcome) {
            SettlementOutcome.NOT_RUN -> false
            SettlementOutcome.INTERRUPTED -> earlier == null
            SettlementOutcome.COMPLETED -> earlier != SettlementOutcome.COMPLETED
        }
    }

    private fun LedgerState.afterClaim(record: AttemptClaimed, events: MutableList<LedgerEvent>): LedgerState {
        val earlier = attempts[record.attempt]
        val won = earlier == null || earlier.outcome == AttemptOutcome.NotRun
        events += LedgerEvent.ClaimDecided(record.attempt, record.reservation, won)
        if (!won) return this
        return copy(attempts = attempts.put(record.attempt, AttemptRecord(record.fingerprint, record.reservation)))
    }

    private fun LedgerState.afterFinish(record: AttemptFinished): LedgerState {
        val attempt = attempts[record.attempt] ?: return this
        if (attempt.reservation != record.reservation || attempt.outcome != null) return this
        return copy(attempts = attempts.put(record.attempt, attempt.copy(outcome = record.outcome)))
    }

    private fun LedgerState.afterHolderGone(record: HolderGone, events: MutableList<LedgerEvent>): LedgerState {
        if (record.holder in gone) return this
        events += LedgerEvent.HolderQuarantined(record.holder)
        val withoutWants = budgets.mapEach { account ->
            val others = account.pendingRequests.remove(record.holder)
            if (record.holder in account.pendingRequests) account.copy(pendingRequests = others) else account
        }
        return copy(gone = gone.put(record.holder, record.declaredAt), budgets = withoutWants)
    }

    private fun LedgerState.afterRelease(record: HolderReleased, events: MutableList<LedgerEvent>): LedgerState {
        if (record.holder !in gone) return this
        val reserved = open.filterKeys { it.holder == record.holder }.values
            .groupingBy { it.budget }.fold(0L) { sum, opened -> sum + opened.reserved }
        return budgets.keys.filter { record.holder in budgets.getValue(it).remaining }.fold(this) { state, budget ->
            state.changingBudget(budget, events) {
                releasing(record.holder, remainingOf(record.holder) - (reserved[budget] ?: 0))
                    .let { it.copy(demand = it.demand.remove(record.holder)) }
            }
        }
    }

    private inline fun LedgerState.changingBudget(
        budget: BudgetId,
        events: MutableList<LedgerEvent>,
        change: BudgetAccount.() -> BudgetAccount,
    ): LedgerState {
        val account = budgets[budget] ?: return this
        events += LedgerEvent.BudgetChanged(budget)
        val changed = account.change().meetingWants { holder ->
            events += LedgerEvent.GrantRequestApplied(budget, holder)
        }
        return copy(budgets = budgets.put(budget, changed))
    }

    private inline fun BudgetAccount.meetingWants(onMet: (Incarnation) -> Unit): BudgetAccount {
        var account = this
        for ((holder, want) in pendingRequests) {
            if (account.available < want.atLeast) continue
            account = account.granting(holder, minOf(want.wanted, account.available))
            account = account.copy(pendingRequests = account.pendingRequests.remove(holder))
            onMet(holder)
        }
        return account
    }

    private inline fun PersistentMap<BudgetId, BudgetAccount>.mapEach(
        transform: (BudgetAccount) -> BudgetAccount,
    ): PersistentMap<BudgetId, BudgetAccount> = entries.fold(this) { map, (budget, account) ->
        val changed = transform(account)
        if (changed === account) map else map.put(budget, changed)
    }
}
