package org.heatherwind.gateway.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.escrow.BudgetHolding
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.peer.QuotaSource
import org.heatherwind.gateway.peer.QuotaTransferRequest
import org.heatherwind.gateway.telemetry.DecisionLog

/** The outcome of a request to reserve a worst case. */
internal sealed interface BudgetDecision {
    /** The tokens are reserved until [reservation] ends. */
    data class Reserved(val reservation: BudgetReservation) : BudgetDecision

    /** As of the last read of the store, the tokens not yet charged do not cover the request. */
    data object Exhausted : BudgetDecision

    /**
     * Other routers may hold enough uncommitted tokens, but this router did not receive them in time. While the store
     * [isStoreUnreachable], they cannot be divided anew.
     */
    data class Unavailable(val isStoreUnreachable: Boolean) : BudgetDecision {
        /** Returns the name of this decision in the decision log. */
        override fun toString(): String = "Undivided"
    }
}

/**
 * Reserves tokens of customers' budgets for requests. Where this router holds too few, it gets more by a larger grant
 * from the store, by a higher spend ceiling, or by a quota transfer from another router. Confined to the event loop.
 */
internal class BudgetManager(
    private val grants: GrantUpdater,
    private val fleetBudgets: FleetBudgetView,
    private val ledgers: BudgetLedgers,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val policy: GrantPolicy,
    private val customers: () -> List<Customer>,
    private val customerOf: (CustomerId) -> Customer?,
    private val reports: ReportPublisher,
    private val peerReports: PeerReports,
    private val quotaSource: QuotaSource,
) : BudgetReportSource {
    private val budgets = HashMap<CustomerId, CustomerBudget>()
    private val startedAt = clock.now()
    private var isShuttingDown = false
    private var nextInitialGrantAt = MonotonicTime.distantPast

    /** Reserves [tokens] for [customer]. Where this router holds too few, waits for more until [deadline]. */
    suspend fun reserve(customer: Customer, tokens: Long, deadline: MonotonicTime): BudgetDecision {
        val prepaid = customer.prepaidTokens ?: return BudgetDecision.Reserved(BudgetReservation(null, 0))
        val budget = budgetOf(customer.id)
        budget.holding.recordDemand(tokens, clock.now())
        if (!reserveImmediately(budget, tokens) && !reserveBeforeDeadline(budget, tokens, deadline)) {
            return refusalOf(budget, prepaid, tokens)
        }
        return BudgetDecision.Reserved(BudgetReservation(budget.holding, tokens))
    }

    private fun reserveImmediately(budget: CustomerBudget, tokens: Long): Boolean {
        val now = clock.now()
        if (!budget.holding.tryReserve(tokens, now)) return false
        val remaining = fleetBudgets.remainingBudgetOf(budget)
        val isRefillDue = policy.isRefillDue(budget.holding, remaining, peerReports.liveCount(), now)
        if (isRefillDue && now >= budget.nextBackgroundUpdateAt) startGrantUpdate(budget, neededTokens = 0)
        if (budget.holding.isCeilingLow(now, remaining)) reports.requestReport()
        return true
    }

    private suspend fun reserveBeforeDeadline(budget: CustomerBudget, tokens: Long, deadline: MonotonicTime): Boolean {
        val waitMilliseconds = deadline.millisecondsSince(clock.now()).coerceAtLeast(1)
        return withTimeoutOrNull(waitMilliseconds) { reserveWhenSufficient(budget, tokens, deadline) } ?: false
    }

    /** Returns `Exhausted` only where the tokens that are known to be charged leave too few for the request. */
    private fun refusalOf(budget: CustomerBudget, prepaid: Long, tokens: Long): BudgetDecision {
        val charged = fleetBudgets.chargedAtLeast(budget)
        val isExhausted = budget.isLastReadSuccessful && prepaid - charged < tokens
        log.stateChange(
            "budget",
            "Could not reserve tokens.",
            "customer" to budget.id.value,
            "tokens" to tokens,
            "reservable" to budget.holding.reservableTokens(clock.now()),
            "available" to budget.holding.availableTokens,
            "granted" to budget.holding.grantedTokens,
            "prepaid" to prepaid,
            "chargedAtLeast" to charged,
            "exhausted" to isExhausted,
        )
        return if (isExhausted) BudgetDecision.Exhausted else BudgetDecision.Unavailable(reports.isStoreUnreachable())
    }

    /**
     * Transfers tokens of a customer to the router that sent [request]. Returns the number of transferred tokens, at
     * most the requested number.
     */
    fun transferQuota(request: QuotaTransferRequest): Long {
        val customer = CustomerId(request.customer)
        if (customerOf(customer) == null) return 0
        val budget = budgetOf(customer)
        val transferred = budget.holding.transferOut(request.requestedTokens, clock.now())
        if (transferred < request.requestedTokens) {
            // The requesting router retries, and by then a higher ceiling allows a larger transfer.
            budget.requestCeiling(request.requestedTokens * 2)
            reports.requestReport()
        }
        log.stateChange(
            "budget",
            "Another router requested a quota transfer.",
            "customer" to request.customer,
            "lent" to transferred,
        )
        return transferred
    }

    private fun budgetOf(customer: CustomerId): CustomerBudget =
        budgets.getOrPut(customer) { CustomerBudget(customer, BudgetHolding(clock.now()), ledgers.of(customer)) }

    /** Requests the tokens missing for a reservation of [tokens] from other routers. Returns whether any arrived. */
    private suspend fun requestTransfer(budget: CustomerBudget, tokens: Long): Boolean {
        if (clock.now() < budget.nextTransferRequestAt) return false
        budget.nextTransferRequestAt = clock.now().plusMilliseconds(TRANSFER_PAUSE_MILLISECONDS)
        val missingTokens = tokens - budget.holding.reservableTokens(clock.now())
        val received = quotaSource.acquire(budget.id, missingTokens)
        budget.holding.transferIn(received)
        if (received >= missingTokens) budget.nextTransferRequestAt = MonotonicTime.distantPast
        return received > 0
    }

    /** Reserves [tokens] once the grant or the ceiling is large enough. Returns false when waiting would not help. */
    private suspend fun reserveWhenSufficient(budget: CustomerBudget, tokens: Long, deadline: MonotonicTime): Boolean {
        while (!budget.holding.tryReserve(tokens, clock.now())) {
            val isRetryUseful = when {
                reports.isStoreUnreachable() -> awaitWithoutStore(budget, tokens, deadline)

                budget.holding.availableTokens < tokens ->
                    awaitGrant(budget, tokens, updateGrant(budget, tokens))

                else -> {
                    awaitCeiling(budget, tokens)
                    true
                }
            }
            if (!isRetryUseful) return false
        }
        return true
    }

    /**
     * Waits for a grant in case the store has just returned, for a quota transfer, or for the growth of the ceiling.
     * Returns false as soon as it is known that none of them will cover [tokens] before [deadline].
     */
    private suspend fun awaitWithoutStore(budget: CustomerBudget, tokens: Long, deadline: MonotonicTime): Boolean {
        if (budget.holding.availableTokens < tokens) {
            val outcome = withTimeoutOrNull(STORE_PROBE_MILLISECONDS) { updateGrant(budget, tokens) }
            if (outcome != null && outcome != GrantUpdateOutcome.FAILED) return awaitGrant(budget, tokens, outcome)
        }
        if (requestTransfer(budget, tokens)) return true
        val now = clock.now()
        val reservableFrom = budget.holding.reservableFrom(tokens, now, deadline) ?: return false
        delay(reservableFrom.millisecondsSince(now).coerceIn(1, CEILING_PAUSE_MILLISECONDS))
        return true
    }

    /** Waits for tokens after a grant update with [outcome]. Returns whether the reservation should be tried again. */
    private suspend fun awaitGrant(budget: CustomerBudget, tokens: Long, outcome: GrantUpdateOutcome): Boolean =
        when (outcome) {
            GrantUpdateOutcome.UPDATED -> true

            GrantUpdateOutcome.INSUFFICIENT ->
                fleetBudgets.uncommittedTokens(budget) >= tokens && awaitTransferOrReturn(budget, tokens)

            GrantUpdateOutcome.FAILED -> {
                if (!requestTransfer(budget, tokens)) delay(RETRY_PAUSE_MILLISECONDS)
                true
            }
        }

    /** Requests a quota transfer of uncommitted tokens, or waits until other routers return such tokens. */
    private suspend fun awaitTransferOrReturn(budget: CustomerBudget, tokens: Long): Boolean {
        if (!requestTransfer(budget, tokens)) delay(RETURN_PAUSE_MILLISECONDS)
        return true
    }

    private suspend fun awaitCeiling(budget: CustomerBudget, tokens: Long) {
        budget.waitingTokens += tokens
        try {
            if (reports.isStoreUnresponsive() && requestTransfer(budget, tokens)) return
            withTimeoutOrNull(CEILING_PAUSE_MILLISECONDS) { reports.requestReportAndWait() }
        } finally {
            budget.waitingTokens -= tokens
        }
    }

    override fun currentReports(): Map<CustomerId, BudgetReport> {
        val now = clock.now()
        return budgets.mapValues { (_, budget) ->
            val demand = budget.holding.demandPerSecond(now)
            val ceiling = budget.holding.nextCeiling(now, budget.neededTokens, fleetBudgets.remainingBudgetOf(budget))
            budget.clearCeilingRequest()
            BudgetReport(
                usedTokens = budget.holding.usedTokens,
                ceilingTokens = ceiling.tokens,
                growthPerSecond = ceiling.growthPerSecond,
                releaseTokens = ceiling.releaseTokens,
                availableTokens = budget.holding.availableTokens,
                demandPerSecond = demand.toLong(),
            )
        }
    }

    override fun onProposed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime) {
        reported.forEach { (customer, budget) -> budgets[customer]?.holding?.propose(budget.ceiling, sentAt) }
    }

    override fun onWitnessed(reported: Map<CustomerId, BudgetReport>) {
        reported.forEach { (customer, budget) -> budgets[customer]?.holding?.confirmWitnessed(budget.ceilingTokens) }
    }

    override fun onConfirmed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime) {
        reported.forEach { (customer, budget) -> budgets[customer]?.holding?.confirm(budget.ceiling, sentAt) }
    }

    /** Returns surplus grants, enlarges small ones, and requests initial grants. */
    fun rebalance() {
        val now = clock.now()
        val holders = peerReports.liveCount()
        budgets.values.forEach { budget ->
            budget.holding.updateHolderCount(holders)
            val remaining = fleetBudgets.remainingBudgetOf(budget)
            val freeTokens = fleetBudgets.freeTokens(budget)
            val isDue = policy.isReturnDue(budget.holding, remaining, freeTokens, holders, now) ||
                policy.isRefillDue(budget.holding, remaining, holders, now)
            val isPaused = budget.isClosing || now < budget.nextBackgroundUpdateAt
            if (isDue && budget.holding.availableTokens != 0L && !isPaused) {
                startGrantUpdate(budget, neededTokens = 0)
            }
        }
        requestInitialGrants()
    }

    /** Requests the initial grants of one partition, whose updates share an append. */
    private fun requestInitialGrants() {
        val now = clock.now()
        val isPaused = isShuttingDown || now < nextInitialGrantAt
        if (isPaused || isFleetUnknown(now) || reports.isStoreUnresponsive()) return
        val routers = peerReports.liveCount()
        val missing = policy.initialGrantCustomers(customers(), routers).filter { isInitialGrantMissing(it, now) }
        val ledger = ledgers.of((missing.randomOrNull() ?: return).id)
        val chosen = missing.filter { ledgers.of(it.id) === ledger }
        chosen.forEach { budgetOf(it.id).isInitialGrantDue = true }
        val spread = routers * INITIAL_GRANT_SPREAD_PER_ROUTER_MILLISECONDS
        scope.launch {
            // Routers that start at once also look for missing grants at once.
            delay((minOf(spread, MAXIMUM_JITTER_MILLISECONDS) * Math.random()).toLong())
            val updates = chosen.map { customer ->
                val tokens = policy.initialGrantTokens(customer.prepaidTokens ?: 0, routers)
                budgetOf(customer.id).let { it to startGrantUpdate(it, tokens) }
            }
            updates.forEach { (budget, update) ->
                if (update.await() != GrantUpdateOutcome.FAILED) budget.isInitialGrantDue = false
            }
        }
        nextInitialGrantAt = now.plusMilliseconds((spread * (1 + Math.random()) / 2).toLong())
    }

    /** Returns whether this router may take itself for the only one of a fleet that starts for the first time. */
    private fun isFleetUnknown(now: MonotonicTime): Boolean {
        val isStarting = now.millisecondsSince(startedAt) < FIRST_REPORTS_MILLISECONDS
        return isStarting && reports.isFirstProcess && budgets.isNotEmpty() && !peerReports.isFleetRunning
    }

    /** Returns whether [customer] has no initial grant yet, or an update that should have stored it failed. */
    private fun isInitialGrantMissing(customer: Customer, now: MonotonicTime): Boolean {
        val budget = budgets[customer.id] ?: return true
        val isPaused = budget.pendingUpdate != null || now < budget.nextBackgroundUpdateAt
        return budget.isInitialGrantDue && !isPaused
    }

    /** Returns all tokens that are not committed, before the process ends. Repeats failed updates until cancelled. */
    suspend fun returnAll() {
        isShuttingDown = true
        val grantedBudgets = budgets.values.filter { it.holding.grant.isPossiblyHeld }
        grantedBudgets.forEach { it.isClosing = true }
        coroutineScope { grantedBudgets.map { async { close(it) } }.awaitAll() }
    }

    private suspend fun close(budget: CustomerBudget) {
        // Begun before, so it may store a grant that is not closed.
        budget.pendingUpdate?.await()
        while (startGrantUpdate(budget, neededTokens = 0, isAwaited = true).await() == GrantUpdateOutcome.FAILED) {
            delay(RETRY_PAUSE_MILLISECONDS)
        }
    }

    /**
     * Updates the grant for a request that waits for [neededTokens]. An update that began without a waiting request may
     * give up early or not cover them, so another one follows it.
     */
    private suspend fun updateGrant(budget: CustomerBudget, neededTokens: Long): GrantUpdateOutcome {
        while (!budget.isPendingUpdateAwaited) {
            val outcome = budget.pendingUpdate?.await() ?: break
            if (outcome == GrantUpdateOutcome.UPDATED && budget.holding.availableTokens >= neededTokens) return outcome
        }
        return startGrantUpdate(budget, neededTokens, isAwaited = true).await()
    }

    private fun startGrantUpdate(
        budget: CustomerBudget,
        neededTokens: Long,
        isAwaited: Boolean = false,
    ): CompletableDeferred<GrantUpdateOutcome> {
        budget.pendingUpdate?.let { return it }
        val pendingUpdate = CompletableDeferred<GrantUpdateOutcome>()
        budget.pendingUpdate = pendingUpdate
        budget.isPendingUpdateAwaited = isAwaited
        scope.launch {
            var result = GrantUpdateOutcome.FAILED
            try {
                result = grants.update(budget, neededTokens, isAwaited)
            } finally {
                budget.pendingUpdate = null
                budget.isPendingUpdateAwaited = false
                pendingUpdate.complete(result)
            }
        }
        return pendingUpdate
    }

    private companion object {
        /**
         * Time in which all routers of a fleet that starts for the first time have reported and read the reports.
         * Before, each would take itself for the only one, so it requests grants in one partition only.
         */
        const val FIRST_REPORTS_MILLISECONDS = 2_500L

        /**
         * Spreads the initial grants of a large fleet over some seconds before callers arrive; each is an update of a
         * partition that all routers share.
         */
        const val INITIAL_GRANT_SPREAD_PER_ROUTER_MILLISECONDS = 12L

        /** As long as the pause between two looks for missing grants. */
        const val MAXIMUM_JITTER_MILLISECONDS = 250L

        /** Pause before a waiting reservation is retried; routers return surplus grants several times a second. */
        const val RETURN_PAUSE_MILLISECONDS = 120L

        /** Longest wait for a report before a retry; the ceiling grows with time even without confirmed reports. */
        const val CEILING_PAUSE_MILLISECONDS = 50L

        /** Pause before the next quota transfer request if the last one did not yield enough tokens. */
        const val TRANSFER_PAUSE_MILLISECONDS = 100L

        /** Many times the store's response time; a grant that takes longer does not arrive in a partition either. */
        const val STORE_PROBE_MILLISECONDS = 60L

        /** Pause after the store did not confirm a grant update. */
        const val RETRY_PAUSE_MILLISECONDS = 60L
    }
}
