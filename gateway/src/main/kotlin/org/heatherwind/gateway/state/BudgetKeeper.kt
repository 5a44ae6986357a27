package org.heatherwind.gateway.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.BudgetHolding
import org.heatherwind.core.escrow.BudgetRemainder
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.Moment
import org.heatherwind.core.identity.SteadyClock
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.telemetry.DecisionLog

/** Whether a request's worst case could be reserved. */
internal sealed interface BudgetDecision {
    /** Tokens are reserved until the end of the [reservation]. */
    data class Reserved(val reservation: BudgetReservation) : BudgetDecision

    /** The store shows that the unspent tokens do not cover the request. */
    data object Exhausted : BudgetDecision

    /** Tokens may be left, but none are at this router. */
    data object Undivided : BudgetDecision
}

/**
 * Holds this router's grants. A grant grows and shrinks by conditional appends to the store, so that the grants of all
 * routers together never exceed what was prepaid. Confined to the event loop.
 */
internal class BudgetKeeper(
    private val self: Incarnation,
    private val store: RecordStore,
    private val partitions: Int,
    private val scope: CoroutineScope,
    private val clock: SteadyClock,
    private val log: DecisionLog,
    private val policy: GrantPolicy,
    private val customerOf: (CustomerId) -> Customer?,
    private val reports: RouterReports,
) : ReportedBudgets {
    private val accounts = HashMap<CustomerId, Account>()
    private val ledgers = HashMap<Int, LedgerPartition>()

    /** Reserves [tokens] for [customer], and waits for a grant until [until] where this router holds too little. */
    suspend fun reserve(customer: Customer, tokens: Long, until: Moment): BudgetDecision {
        val prepaid = customer.prepaidTokens ?: return BudgetDecision.Reserved(BudgetReservation(null, 0))
        val now = clock.now()
        val account = accounts.getOrPut(customer.id) { Account(customer.id, BudgetHolding(now)) }
        account.holding.recordDemand(tokens, now)
        if (account.holding.tryReserve(tokens, now)) {
            if (policy.isRefillDue(account.holding, remainderOf(account), now)) refill(account, neededTokens = 0)
            if (account.holding.isCeilingLow(now)) reports.wantPublished()
            return BudgetDecision.Reserved(BudgetReservation(account.holding, tokens))
        }
        val wait = until.millisecondsSince(now).coerceAtLeast(1)
        val isReserved = withTimeoutOrNull(wait) { reserveWithMore(account, tokens) } ?: false
        if (isReserved) return BudgetDecision.Reserved(BudgetReservation(account.holding, tokens))
        val known = reports.usedElsewhere(customer.id) + account.holding.usedTokens +
            ledgerOf(customer.id).allocationOf(customer.id).certainClosedTokens
        val isShort = account.isStoreCurrent && prepaid - known < tokens
        log.belief(
            "budget",
            "Could not reserve tokens.",
            "customer" to customer.id.value,
            "tokens" to tokens,
            "reservable" to account.holding.reservableTokens(clock.now()),
            "available" to account.holding.availableTokens,
            "granted" to account.holding.grantedTokens,
            "prepaid" to prepaid,
            "exhausted" to isShort,
        )
        return if (isShort) BudgetDecision.Exhausted else BudgetDecision.Undivided
    }

    /** Reserves [tokens] after the grant or the ceiling was raised; false when no more tokens are free. */
    private suspend fun reserveWithMore(account: Account, tokens: Long): Boolean {
        while (true) {
            if (account.holding.availableTokens < tokens) {
                when (refill(account, tokens).await()) {
                    GrantChange.SHORT -> {
                        if (uncommittedTokens(account) < tokens) return false
                        delay(SHORT_PAUSE_MILLISECONDS)
                    }

                    GrantChange.FAILED -> {
                        if (reports.isStoreLost()) return false
                        delay(RETRY_PAUSE_MILLISECONDS)
                    }

                    GrantChange.DONE -> Unit
                }
            } else {
                account.neededTokens = maxOf(account.neededTokens, tokens)
                withTimeoutOrNull(CEILING_PAUSE_MILLISECONDS) { reports.publishSoon() }
            }
            if (account.holding.tryReserve(tokens, clock.now())) return true
        }
    }

    override fun present(): Map<CustomerId, BudgetReport> {
        val now = clock.now()
        return accounts.mapValues { (_, account) ->
            val demand = account.holding.demandPerSecond(now)
            val abundance = remainderOf(account).abundance(demand)
            val ceiling = account.holding.nextCeiling(now, account.neededTokens, abundance)
            account.neededTokens = 0
            BudgetReport(
                usedTokens = account.holding.usedTokens,
                ceilingTokens = ceiling.tokens,
                growthPerSecond = ceiling.growthPerSecond,
                demandPerSecond = demand.toLong(),
            )
        }
    }

    override fun onConfirmed(reported: Map<CustomerId, BudgetReport>, sentAt: Moment) {
        reported.forEach { (customer, budget) -> accounts[customer]?.holding?.confirm(budget.ceiling, sentAt) }
    }

    /** Closes the grants of earlier processes on this instance, until none is left. */
    suspend fun closePredecessors() {
        var isDone = false
        while (!isDone) {
            isDone = (0 until partitions).map { closePredecessors(ledgerAt(it)) }.all { it }
            if (!isDone) delay(RETRY_PAUSE_MILLISECONDS)
        }
        reports.predecessors = emptyMap()
    }

    private suspend fun closePredecessors(ledger: LedgerPartition): Boolean {
        repeat(MAXIMUM_CONFLICTS) {
            if (!ledger.isCurrent && !ledger.refresh()) return false
            val closed = ledger.all().mapValues { (customer, before) -> closingPredecessors(customer, before) }
                .filter { (customer, after) -> after != ledger.allocationOf(customer) }
            if (closed.isEmpty()) return true
            when (val append = ledger.append(closed)) {
                is StreamAppend.Appended -> {
                    closed.forEach { (customer, allocation) -> logClosed(customer, allocation) }
                    return true
                }

                is StreamAppend.Unknown, is StreamAppend.Rejected -> {
                    log.belief("budget", "Closing earlier grants was not confirmed.", "outcome" to append)
                    return false
                }

                StreamAppend.Conflict, is StreamAppend.OutOfSequence -> delay(conflictPause())
            }
        }
        return false
    }

    private fun closingPredecessors(customer: CustomerId, allocation: BudgetAllocation): BudgetAllocation =
        allocation.grants.keys.filter { it.instance == self.instance && it != self }.fold(allocation) { open, process ->
            val charges = reports.predecessors[process]
            open.closing(process, if (charges == null) HolderCharge.unknown else charges[customer] ?: HolderCharge.none)
        }

    /** Gives back what is held without need, and asks for what runs low. */
    fun tend() {
        val now = clock.now()
        accounts.values.forEach { account ->
            val remainder = remainderOf(account)
            val isDue = policy.isReturnDue(account.holding, remainder, now) ||
                policy.isRefillDue(account.holding, remainder, now)
            if (isDue && account.holding.grantedTokens > 0 && !account.isClosing) refill(account, neededTokens = 0)
        }
    }

    /** Gives back everything that is not committed, before the process ends. */
    suspend fun returnAll() {
        accounts.values.filter { it.holding.grantedTokens > 0 }.forEach { account ->
            account.isClosing = true
            refill(account, neededTokens = 0).await()
        }
    }

    private fun refill(account: Account, neededTokens: Long): CompletableDeferred<GrantChange> {
        account.change?.let { return it }
        val change = CompletableDeferred<GrantChange>()
        account.change = change
        scope.launch {
            var result = GrantChange.FAILED
            try {
                result = changeGrant(account, neededTokens)
            } finally {
                account.change = null
                change.complete(result)
            }
        }
        return change
    }

    private suspend fun changeGrant(account: Account, neededTokens: Long): GrantChange {
        val ledger = ledgerOf(account.id)
        repeat(MAXIMUM_CONFLICTS) {
            if (!ledger.isCurrent && !ledger.refresh()) {
                account.isStoreCurrent = false
                return GrantChange.FAILED
            }
            account.isStoreCurrent = true
            val allocation = ledger.allocationOf(account.id)
            val before = allocation.grantOf(self)
            account.holding.setGranted(minOf(before, account.certainTokens))
            val after = aim(account, allocation, neededTokens)
            val isUncertain = account.certainTokens < before
            if (after == before && !isUncertain) return GrantChange.SHORT
            if (after < before) account.holding.setGranted(after)
            val changed = if (account.isClosing) {
                allocation.closing(self, HolderCharge.exactly(account.holding.committedTokens))
            } else {
                allocation.withGrant(self, after)
            }
            when (val append = ledger.append(mapOf(account.id to changed))) {
                is StreamAppend.Appended -> {
                    account.holding.setGranted(after)
                    account.certainTokens = Long.MAX_VALUE
                    logChange(account, before, after, changed)
                    return GrantChange.DONE
                }

                StreamAppend.Conflict, is StreamAppend.OutOfSequence -> delay(conflictPause())

                is StreamAppend.Rejected -> return unconfirmed(account, append)

                is StreamAppend.Unknown -> {
                    account.certainTokens = minOf(account.certainTokens, before, after)
                    account.holding.setGranted(minOf(before, account.certainTokens))
                    return unconfirmed(account, append)
                }
            }
        }
        return GrantChange.FAILED
    }

    private fun unconfirmed(account: Account, append: StreamAppend): GrantChange {
        log.belief("budget", "A grant was not confirmed.", "customer" to account.id.value, "outcome" to append)
        return GrantChange.FAILED
    }

    private fun aim(account: Account, allocation: BudgetAllocation, neededTokens: Long): Long {
        if (account.isClosing) return account.holding.committedTokens
        val prepaid = customerOf(account.id)?.prepaidTokens ?: return allocation.grantOf(self)
        return policy.grantFor(
            self,
            account.holding,
            allocation,
            prepaid,
            remainderOf(account),
            reports.liveCount(),
            neededTokens,
            clock.now(),
        )
    }

    /** Tokens that no router has promised to a request; the rest of the grants may come back. */
    private fun uncommittedTokens(account: Account): Long {
        val prepaid = customerOf(account.id)?.prepaidTokens ?: 0
        val closed = ledgerOf(account.id).allocationOf(account.id).closedTokens
        return prepaid - closed - account.holding.committedTokens - reports.committedElsewhere(account.id)
    }

    /** What the customer has left, by the last read of its allocation and the last reports of use. */
    private fun remainderOf(account: Account): BudgetRemainder {
        val prepaid = customerOf(account.id)?.prepaidTokens ?: 0
        val closed = ledgerOf(account.id).allocationOf(account.id).closedTokens
        return BudgetRemainder(
            tokens = prepaid - closed - account.holding.committedTokens - reports.usedElsewhere(account.id),
            demandElsewherePerSecond = reports.demandElsewhere(account.id),
        )
    }

    private fun logClosed(customer: CustomerId, allocation: BudgetAllocation): Unit = log.belief(
        "budget",
        "Closed the grants of earlier processes.",
        "customer" to customer.value,
        "chargedAtMost" to allocation.closedTokens,
        "chargedAtLeast" to allocation.certainClosedTokens,
        "allocated" to allocation.allocatedTokens,
    )

    private fun logChange(account: Account, before: Long, after: Long, allocation: BudgetAllocation): Unit = log.belief(
        "budget",
        "A grant changed.",
        "customer" to account.id.value,
        "before" to before,
        "after" to after,
        "used" to account.holding.usedTokens,
        "allocated" to allocation.allocatedTokens,
    )

    private fun conflictPause(): Long = (CONFLICT_PAUSE_MILLISECONDS * (1 + Math.random())).toLong()

    private fun ledgerOf(customer: CustomerId): LedgerPartition =
        ledgerAt(Rendezvous.partitionOf(customer.value, partitions))

    private fun ledgerAt(index: Int): LedgerPartition =
        ledgers.getOrPut(index) { LedgerPartition(store, StreamPartition(STREAM, index)) }

    private class Account(val id: CustomerId, val holding: BudgetHolding) {
        var change: CompletableDeferred<GrantChange>? = null
        var isClosing = false

        /** The largest request that waits for a higher ceiling. */
        var neededTokens = 0L
        var isStoreCurrent = false

        /** A change whose outcome is unknown may take effect later, so no more than this is used until one is confirmed. */
        var certainTokens = Long.MAX_VALUE
    }

    private enum class GrantChange { DONE, SHORT, FAILED }

    private companion object {
        const val STREAM = "budgets"

        /** Other routers change grants of the same partition; each conflict is read and tried anew. */
        const val MAXIMUM_CONFLICTS = 12
        const val CONFLICT_PAUSE_MILLISECONDS = 6.0

        /** Other routers give back what they do not need a few times a second. */
        const val SHORT_PAUSE_MILLISECONDS = 120L

        /** While reports get no answer, the ceiling grows with time, so it is looked at this often. */
        const val CEILING_PAUSE_MILLISECONDS = 50L

        /** Pause after the store turned a change away. */
        const val RETRY_PAUSE_MILLISECONDS = 60L
    }
}
