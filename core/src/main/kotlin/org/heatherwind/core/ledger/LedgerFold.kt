package org.heatherwind.core.ledger

import kotlinx.collections.immutable.PersistentMap
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Incarnation

/**
 * Folds the batches of a shard's stream into its state. A batch at or below the state's offset changes nothing, and a
 * repeat of a writer's batch changes only the offset. A record that names an unknown budget does not change budgets.
 */
public object LedgerFold {
    /** Returns [state] after [batch], which was read at [offset], and the changes made. */
    public fun fold(state: LedgerState, offset: Long, batch: LedgerBatch): FoldResult {
        if (offset <= state.through) return FoldResult(state, emptyList())
        if (batch.sequence <= (state.writers[batch.writer] ?: 0)) {
            return FoldResult(state.copy(through = offset), emptyList())
        }
        val advanced = state.copy(through = offset, writers = state.writers.put(batch.writer, batch.sequence))
        val events = mutableListOf<LedgerEvent>()
        val folded = batch.records.fold(advanced) { current, record -> current.applyRecord(record, events) }
        return FoldResult(folded, events)
    }

    private fun LedgerState.applyRecord(record: LedgerRecord, events: MutableList<LedgerEvent>): LedgerState =
        when (record) {
            is BudgetCreated -> applyBudgetCreation(record)
            is KeyAdded -> updateBudget(record.budget, events) { copy(keyDigests = keyDigests.add(record.keyDigest)) }
            is ToppedUp -> updateBudget(record.budget, events) { withTopUp(record) }
            is GrantRequested -> applyGrantRequest(record, events)
            is GrantReturned -> applyGrantReturn(record, events)
            is RequestOpened -> applyRequestOpening(record)
            is RequestSettled -> applySettlement(record, events)
            is AttemptClaimed -> applyClaim(record, events)
            is AttemptFinished -> applyAttemptFinish(record)
            is HolderGone -> applyHolderGone(record, events)
            is HolderReleased -> applyHolderRelease(record, events)
            is SnapshotTaken -> this
        }

    private fun LedgerState.applyBudgetCreation(record: BudgetCreated): LedgerState = if (record.budget in budgets) {
        this
    } else {
        copy(budgets = budgets.put(record.budget, BudgetAccount(record.customer)))
    }

    private fun BudgetAccount.withTopUp(record: ToppedUp): BudgetAccount = when {
        record.topUpKey in topUpKeys -> this
        record.tokens <= 0 || record.tokens > Long.MAX_VALUE / 2 - prepaid -> this
        else -> copy(prepaid = prepaid + record.tokens, topUpKeys = topUpKeys.add(record.topUpKey))
    }

    private fun LedgerState.applyGrantRequest(record: GrantRequested, events: MutableList<LedgerEvent>): LedgerState {
        if (record.holder in gone) return this
        events += LedgerEvent.GrantRequestApplied(record.budget, record.holder)
        return updateBudget(record.budget, events) {
            val account = copy(demand = demand.put(record.holder, record.demandPerMinute))
            val isWithdrawal = record.wanted <= 0
            val request = PendingGrantRequest(
                wanted = maxOf(record.wanted, record.atLeast),
                atLeast = maxOf(record.atLeast, 1),
            )
            val otherRequests = account.pendingRequests.remove(record.holder)
            account.copy(
                pendingRequests = if (isWithdrawal) otherRequests else otherRequests.put(record.holder, request),
            )
        }
    }

    private fun LedgerState.applyGrantReturn(record: GrantReturned, events: MutableList<LedgerEvent>): LedgerState {
        events += LedgerEvent.ReturnApplied(record.budget, record.holder, record.tokens)
        return updateBudget(record.budget, events) { withRelease(record.holder, record.tokens) }
    }

    private fun LedgerState.applyRequestOpening(record: RequestOpened): LedgerState {
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

    private fun LedgerState.applySettlement(record: RequestSettled, events: MutableList<LedgerEvent>): LedgerState {
        val closed = copy(open = open.remove(ReservationKey(record.holder, record.reservation)))
        val isApplied = setsCharge(record)
        events += LedgerEvent.SettlementRead(record, isApplied)
        if (!isApplied) return closed.updateBudget(record.budget, events) { this }
        val previousCharge = settled[record.request]?.charged ?: 0
        val charged = chargeOf(record)
        return closed
            .copy(
                settled = settled.put(
                    record.request,
                    SettledRequest(record.outcome, charged, record.reservation.entry),
                ),
            )
            .updateBudget(record.budget, events) { withReplacedCharge(record.holder, previousCharge, charged) }
    }

    /**
     * Returns the charge of a settlement that is applied. An interrupted request is charged its worst case, but no more
     * than its grant has left: the holder may already have reused tokens that one of its settled requests did not need,
     * and its requests together never use more than the grant.
     */
    private fun LedgerState.chargeOf(record: RequestSettled): Long = when (record.outcome) {
        SettlementOutcome.INTERRUPTED ->
            minOf(record.charged, budgets.getValue(record.budget).remainingOf(record.holder))

        SettlementOutcome.COMPLETED, SettlementOutcome.NOT_RUN -> record.charged
    }

    /** Returns whether [record] sets the request's charge, by the rule of [RequestSettled]. */
    private fun LedgerState.setsCharge(record: RequestSettled): Boolean {
        if (record.budget !in budgets || record.charged < 0) return false
        val earlier = settled[record.request]?.outcome
        return when (record.outcome) {
            SettlementOutcome.NOT_RUN -> false
            SettlementOutcome.INTERRUPTED -> earlier == null
            SettlementOutcome.COMPLETED -> earlier != SettlementOutcome.COMPLETED
        }
    }

    private fun LedgerState.applyClaim(record: AttemptClaimed, events: MutableList<LedgerEvent>): LedgerState {
        val earlier = attempts[record.attempt]
        val isAccepted = earlier == null || earlier.outcome == AttemptOutcome.NotRun
        events += LedgerEvent.ClaimDecided(record.attempt, record.reservation, isAccepted)
        if (!isAccepted) return this
        return copy(attempts = attempts.put(record.attempt, AttemptRecord(record.fingerprint, record.reservation)))
    }

    private fun LedgerState.applyAttemptFinish(record: AttemptFinished): LedgerState {
        val attempt = attempts[record.attempt] ?: return this
        if (attempt.reservation != record.reservation || attempt.outcome != null) return this
        return copy(attempts = attempts.put(record.attempt, attempt.copy(outcome = record.outcome)))
    }

    private fun LedgerState.applyHolderGone(record: HolderGone, events: MutableList<LedgerEvent>): LedgerState {
        if (record.holder in gone) return this
        events += LedgerEvent.HolderQuarantined(record.holder)
        val updatedBudgets = budgets.mapAccounts { account ->
            val otherRequests = account.pendingRequests.remove(record.holder)
            if (record.holder in account.pendingRequests) account.copy(pendingRequests = otherRequests) else account
        }
        return copy(gone = gone.put(record.holder, record.declaredAt), budgets = updatedBudgets)
    }

    private fun LedgerState.applyHolderRelease(record: HolderReleased, events: MutableList<LedgerEvent>): LedgerState {
        if (record.holder !in gone) return this
        val reservedByBudget = open.filterKeys { it.holder == record.holder }.values
            .groupingBy { it.budget }.fold(0L) { sum, opened -> sum + opened.reserved }
        return budgets.keys.filter { record.holder in budgets.getValue(it).remaining }.fold(this) { state, budget ->
            state.updateBudget(budget, events) {
                withRelease(record.holder, remainingOf(record.holder) - (reservedByBudget[budget] ?: 0))
                    .let { it.copy(demand = it.demand.remove(record.holder)) }
            }
        }
    }

    /** Changes [budget], then grants pending requests from the tokens that became available. */
    private inline fun LedgerState.updateBudget(
        budget: BudgetId,
        events: MutableList<LedgerEvent>,
        change: BudgetAccount.() -> BudgetAccount,
    ): LedgerState {
        val account = budgets[budget] ?: return this
        events += LedgerEvent.BudgetChanged(budget)
        val changed = account.change().grantPendingRequests { holder ->
            events += LedgerEvent.GrantRequestApplied(budget, holder)
        }
        return copy(budgets = budgets.put(budget, changed))
    }

    /** Grants, in the log's order, the pending requests whose minimum is available; larger ones do not block others. */
    private inline fun BudgetAccount.grantPendingRequests(onGranted: (Incarnation) -> Unit): BudgetAccount {
        var account = this
        for ((holder, request) in pendingRequests) {
            if (account.available < request.atLeast) continue
            account = account.withGrant(holder, minOf(request.wanted, account.available))
            account = account.copy(pendingRequests = account.pendingRequests.remove(holder))
            onGranted(holder)
        }
        return account
    }

    private inline fun PersistentMap<BudgetId, BudgetAccount>.mapAccounts(
        transform: (BudgetAccount) -> BudgetAccount,
    ): PersistentMap<BudgetId, BudgetAccount> = entries.fold(this) { map, (budget, account) ->
        val changed = transform(account)
        if (changed === account) map else map.put(budget, changed)
    }
}
