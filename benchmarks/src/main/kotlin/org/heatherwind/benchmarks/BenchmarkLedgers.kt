package org.heatherwind.benchmarks

import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.BudgetCreated
import org.heatherwind.core.ledger.GrantRequested
import org.heatherwind.core.ledger.KeyAdded
import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerFold
import org.heatherwind.core.ledger.LedgerRecord
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.ledger.ToppedUp
import org.heatherwind.core.owner.OwnerEffect
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.OwnerState
import org.heatherwind.core.owner.ShardOwner

/** Creates ledgers with [budgets] budgets for the benchmarks, and runs a shard owner on them. */
internal class BenchmarkLedgers(private val budgets: Int) {
    private val holder = Incarnation("router-1@1")
    private val entry = Incarnation("router-2@1")
    private val keyDigest = Digest("0".repeat(64))
    private val names = List(budgets) { BudgetId("customer-$it/budget") }
    private val owner = ShardOwner()

    /** Returns the state of a shard owner that holds a grant from each budget. */
    fun ownerState(): OwnerState = OwnerState(holder, ledger())

    /** Returns a ledger in which all budgets are created, topped up and granted to the shard owner. */
    fun ledger(): LedgerState = names.chunked(BUDGETS_PER_BATCH).foldIndexed(LedgerState()) { index, state, chunk ->
        val batch = LedgerBatch(Incarnation("operator@1"), index + 1L, chunk.flatMap { creationRecords(it) })
        LedgerFold.fold(state, index.toLong(), batch).state
    }

    /** Reserves and settles [count] requests, round-robin over the budgets, and returns the records to append. */
    fun reserveAndSettle(start: OwnerState, count: Int): List<LedgerRecord> {
        var state = start
        val records = ArrayList<LedgerRecord>()
        repeat(count) { index ->
            val budget = names[index % budgets]
            val reservation = ReservationId("router-2@1/$index/0")
            val request = RequestKey(reservation.value)
            val now = Timestamp(index.toLong())
            val reserved = owner.decide(state, reserve(reservation, request, budget, now), now)
            val settled = owner.decide(reserved.state, settle(reservation, request, budget), now)
            state = settled.state.copy(
                settling = settled.state.settling.clear(),
                reservationsByRequest = settled.state.reservationsByRequest.clear(),
            )
            (reserved.effects + settled.effects).filterIsInstance<OwnerEffect.Append>().mapTo(records) { it.record }
        }
        return records
    }

    private fun creationRecords(budget: BudgetId) = listOf(
        BudgetCreated(budget, CustomerId("customer")),
        KeyAdded(budget, keyDigest),
        ToppedUp(budget, PREPAID_TOKENS, "first"),
        GrantRequested(budget, holder, PREPAID_TOKENS / 2, atLeast = 1, demandPerMinute = 100),
    )

    private fun reserve(reservation: ReservationId, request: RequestKey, budget: BudgetId, now: Timestamp) =
        OwnerEvent.Reserve(
            reservation = reservation,
            request = request,
            budget = budget,
            keyDigest = keyDigest,
            tokens = WORST_CASE_TOKENS,
            entry = entry,
            waitUntil = now.plusMilliseconds(WAIT_MILLISECONDS),
            deadline = now.plusMilliseconds(DEADLINE_MILLISECONDS),
        )

    private fun settle(reservation: ReservationId, request: RequestKey, budget: BudgetId) =
        OwnerEvent.Settle(reservation, request, budget, holder, USED_TOKENS, SettlementOutcome.COMPLETED)

    private companion object {
        const val WAIT_MILLISECONDS = 2_000L
        const val DEADLINE_MILLISECONDS = 120_000L
        const val BUDGETS_PER_BATCH = 100
        const val PREPAID_TOKENS = 1_000_000_000_000L
        const val WORST_CASE_TOKENS = 600L
        const val USED_TOKENS = 341L
    }
}
