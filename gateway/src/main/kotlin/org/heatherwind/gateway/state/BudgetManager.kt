package org.heatherwind.gateway.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitAll
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
 * Reserves tokens of customers' budgets for requests, and gathers more where this router holds too few: from the store,
 * by a higher ceiling, or from other routers. Confined to the event loop.
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
    private val accounts = HashMap<CustomerId, CustomerBudget>()
    private var isLeaving = false

    /** Reserves [tokens] for [customer], and waits for more until [until] where this router holds too little. */
    suspend fun reserve(customer: Customer, tokens: Long, until: MonotonicTime): BudgetDecision {
        val prepaid = customer.prepaidTokens ?: return BudgetDecision.Reserved(BudgetReservation(null, 0))
        val account = accountOf(customer.id)
        account.holding.recordDemand(tokens, clock.now())
        if (!reserveAtOnce(account, tokens) && !reserveWithin(account, tokens, until)) {
            return refuse(account, prepaid, tokens)
        }
        return BudgetDecision.Reserved(BudgetReservation(account.holding, tokens))
    }

    private fun reserveAtOnce(account: CustomerBudget, tokens: Long): Boolean {
        val now = clock.now()
        if (!account.holding.tryReserve(tokens, now)) return false
        val remainder = fleetBudgets.remainderOf(account)
        val isRefillDue = policy.isRefillDue(account.holding, remainder, peerReports.liveCount(), now)
        if (isRefillDue) refill(account, neededTokens = 0)
        if (account.holding.isCeilingLow(now)) reports.wantPublished()
        return true
    }

    private suspend fun reserveWithin(account: CustomerBudget, tokens: Long, until: MonotonicTime): Boolean {
        val wait = until.millisecondsSince(clock.now()).coerceAtLeast(1)
        return withTimeoutOrNull(wait) { reserveWithMore(account, tokens) } ?: false
    }

    /** Says "exhausted" only where what was certainly charged leaves too little. */
    private fun refuse(account: CustomerBudget, prepaid: Long, tokens: Long): BudgetDecision {
        val charged = fleetBudgets.chargedAtLeast(account)
        val isShort = account.isStoreCurrent && prepaid - charged < tokens
        log.stateChange(
            "budget",
            "Could not reserve tokens.",
            "customer" to account.id.value,
            "tokens" to tokens,
            "reservable" to account.holding.reservableTokens(clock.now()),
            "available" to account.holding.availableTokens,
            "granted" to account.holding.grantedTokens,
            "prepaid" to prepaid,
            "chargedAtLeast" to charged,
            "exhausted" to isShort,
        )
        return if (isShort) BudgetDecision.Exhausted else BudgetDecision.Undivided
    }

    /** Lends tokens of a customer to another router that asked for them, as many of those wanted as can be spared. */
    fun transferQuota(request: QuotaTransferRequest): Long {
        val customer = CustomerId(request.customer)
        if (customerOf(customer) == null) return 0
        val account = accountOf(customer)
        val lent = account.holding.transferOut(request.wantedTokens, clock.now())
        if (lent < request.wantedTokens) {
            // The borrower asks again, and then finds a higher ceiling.
            account.need(request.wantedTokens * 2)
            reports.wantPublished()
        }
        log.stateChange("budget", "Another router asked for tokens.", "customer" to request.customer, "lent" to lent)
        return lent
    }

    private fun accountOf(customer: CustomerId): CustomerBudget =
        accounts.getOrPut(customer) { CustomerBudget(customer, BudgetHolding(clock.now()), ledgers.of(customer)) }

    /** Asks other routers for what is missing of [tokens]. Answers whether any tokens came. */
    private suspend fun borrow(account: CustomerBudget, tokens: Long): Boolean {
        if (clock.now() < account.nextBorrowing) return false
        account.nextBorrowing = clock.now().plusMilliseconds(BORROW_PAUSE_MILLISECONDS)
        val missing = tokens - account.holding.reservableTokens(clock.now())
        val lent = quotaSource.acquire(account.id, missing)
        account.holding.transferIn(lent)
        if (lent >= missing) account.nextBorrowing = MonotonicTime.distantPast
        return lent > 0
    }

    /** Reserves [tokens] after the grant or the ceiling was raised; false when no more tokens are free. */
    private suspend fun reserveWithMore(account: CustomerBudget, tokens: Long): Boolean {
        while (!account.holding.tryReserve(tokens, clock.now())) {
            val isHopeful = if (account.holding.availableTokens < tokens) {
                awaitGrant(account, tokens)
            } else {
                awaitCeiling(account, tokens)
                true
            }
            if (!isHopeful) return false
        }
        return true
    }

    /** Waits for a larger grant. Answers whether one may still come. */
    private suspend fun awaitGrant(account: CustomerBudget, tokens: Long): Boolean =
        when (refill(account, tokens).await()) {
            GrantUpdateOutcome.UPDATED -> true

            GrantUpdateOutcome.INSUFFICIENT ->
                fleetBudgets.uncommittedTokens(account) >= tokens && awaitOthers(account, tokens)

            GrantUpdateOutcome.FAILED -> {
                val isLent = borrow(account, tokens)
                if (!isLent) delay(RETRY_PAUSE_MILLISECONDS)
                isLent || !reports.isStoreLost()
            }
        }

    /** Borrows what others hold and have not promised, or waits until they give it back. */
    private suspend fun awaitOthers(account: CustomerBudget, tokens: Long): Boolean {
        if (!borrow(account, tokens)) delay(SHORT_PAUSE_MILLISECONDS)
        return true
    }

    private suspend fun awaitCeiling(account: CustomerBudget, tokens: Long) {
        account.need(tokens)
        if (reports.isStoreSilent() && borrow(account, tokens)) return
        withTimeoutOrNull(CEILING_PAUSE_MILLISECONDS) { reports.publishSoon() }
    }

    override fun present(): Map<CustomerId, BudgetReport> {
        val now = clock.now()
        return accounts.mapValues { (_, account) ->
            val demand = account.holding.demandPerSecond(now)
            val ceiling = account.holding.nextCeiling(now, account.neededTokens, fleetBudgets.remainderOf(account))
            account.clearNeed()
            BudgetReport(
                usedTokens = account.holding.usedTokens,
                ceilingTokens = ceiling.tokens,
                growthPerSecond = ceiling.growthPerSecond,
                releaseTokens = ceiling.releaseTokens,
                availableTokens = account.holding.availableTokens,
                demandPerSecond = demand.toLong(),
            )
        }
    }

    override fun onProposed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime) {
        reported.forEach { (customer, budget) -> accounts[customer]?.holding?.propose(budget.ceiling, sentAt) }
    }

    override fun onWitnessed(reported: Map<CustomerId, BudgetReport>) {
        reported.forEach { (customer, budget) -> accounts[customer]?.holding?.confirmWitnessed(budget.ceilingTokens) }
    }

    override fun onConfirmed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime) {
        reported.forEach { (customer, budget) -> accounts[customer]?.holding?.confirm(budget.ceiling, sentAt) }
    }

    /** Gives back what is held without need, asks for what runs low, and for a first holding of one more customer. */
    fun rebalance() {
        val now = clock.now()
        val holders = peerReports.liveCount()
        accounts.values.forEach { account ->
            account.holding.updateHolderCount(holders)
            val remainder = fleetBudgets.remainderOf(account)
            val freeTokens = fleetBudgets.freeTokens(account)
            val isDue = policy.isReturnDue(account.holding, remainder, freeTokens, holders, now) ||
                policy.isRefillDue(account.holding, remainder, holders, now)
            if (isDue && account.holding.availableTokens != 0L && !account.isClosing) refill(account, neededTokens = 0)
        }
        prime()
    }

    private fun prime() {
        if (isLeaving || accounts.size >= MAXIMUM_PRIMED || reports.isStoreSilent()) return
        val customer = customers().filter { it.id !in accounts && it.prepaidTokens != null }.randomOrNull() ?: return
        val account = accountOf(customer.id)
        refill(account, policy.initialGrantTokens(customer.prepaidTokens ?: 0, peerReports.liveCount()))
    }

    /** Gives back everything that is not committed, before the process ends. */
    suspend fun returnAll() {
        isLeaving = true
        val held = accounts.values.filter { it.holding.grantedTokens != 0L }
        held.forEach { it.isClosing = true }
        held.map { refill(it, neededTokens = 0) }.awaitAll()
    }

    private fun refill(account: CustomerBudget, neededTokens: Long): CompletableDeferred<GrantUpdateOutcome> {
        account.change?.let { return it }
        val change = CompletableDeferred<GrantUpdateOutcome>()
        account.change = change
        scope.launch {
            var result = GrantUpdateOutcome.FAILED
            try {
                result = grants.change(account, neededTokens)
            } finally {
                account.change = null
                change.complete(result)
            }
        }
        return change
    }

    private companion object {
        /** Other routers give back what they do not need a few times a second. */
        const val SHORT_PAUSE_MILLISECONDS = 120L

        /** While reports get no answer, the ceiling grows with time, so it is looked at this often. */
        const val CEILING_PAUSE_MILLISECONDS = 50L

        /** Routers that had too little to spare are asked again after this. */
        const val BORROW_PAUSE_MILLISECONDS = 100L

        /** Customers that get a holding ahead of their first request; a larger fleet's customers wait for theirs. */
        const val MAXIMUM_PRIMED = 64

        /** Pause after the store turned a change away. */
        const val RETRY_PAUSE_MILLISECONDS = 60L
    }
}
