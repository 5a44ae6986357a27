package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.escrow.UsableGrant
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.telemetry.DecisionLog

/**
 * Updates this router's grants by conditional appends to the store, so that the grants of all routers together never
 * exceed the prepaid tokens.
 */
internal class GrantUpdater(
    private val self: Incarnation,
    private val fleetBudgets: FleetBudgetView,
    private val peerReports: PeerReports,
    private val policy: GrantPolicy,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val customerOf: (CustomerId) -> Customer?,
) {
    /**
     * Sets the grant of [budget] to what the policy computes, including [neededTokens] of a waiting request. Unless the
     * update [isAwaited], it gives up early where other routers update the same partition.
     */
    suspend fun update(budget: CustomerBudget, neededTokens: Long, isAwaited: Boolean): GrantUpdateOutcome {
        var planned = PlannedGrant(0, 0, BudgetAllocation())
        val attempts =
            if (isAwaited) BudgetLedgers.MAXIMUM_ATTEMPTS else BudgetLedgers.MAXIMUM_BACKGROUND_ATTEMPTS
        val update = budget.ledger.update(attempts, budget.isClosing) { allocations, isFresh ->
            if (isFresh) budget.isLastReadSuccessful = true
            planned = plan(budget, allocations.of(budget.id), neededTokens)
            val isUpdateNeeded = planned.after != planned.before || budget.holding.grant.isUncertain
            when {
                isUpdateNeeded -> LedgerPlan.Store(mapOf(budget.id to planned.allocation))
                isFresh || !isReadDue(budget, neededTokens) -> LedgerPlan.Unchanged
                else -> LedgerPlan.Read
            }
        }
        recordOutcome(budget.holding.grant, update)
        return when (update) {
            LedgerUpdate.Stored -> {
                logUpdate(budget, planned)
                GrantUpdateOutcome.UPDATED
            }

            LedgerUpdate.Unchanged -> GrantUpdateOutcome.INSUFFICIENT

            LedgerUpdate.Unread -> GrantUpdateOutcome.FAILED.also { budget.isLastReadSuccessful = false }

            LedgerUpdate.Conflicting -> {
                budget.nextBackgroundUpdateAt = nextUpdateAt()
                logConflicts(budget, planned, attempts)
                GrantUpdateOutcome.FAILED
            }

            is LedgerUpdate.Unconfirmed -> failUnconfirmed(budget, update.append)
        }
    }

    private fun recordOutcome(grant: UsableGrant, update: LedgerUpdate): Unit = when (update) {
        LedgerUpdate.Stored -> grant.confirm()

        LedgerUpdate.Unchanged, LedgerUpdate.Unread, LedgerUpdate.Conflicting -> grant.withdraw()

        is LedgerUpdate.Unconfirmed ->
            if (update.append is StreamAppend.Unknown) grant.recordUnknown() else grant.withdraw()
    }

    /** Plans the grant of [budget] in [allocation], and limits what is usable of it until the outcome is known. */
    private fun plan(budget: CustomerBudget, allocation: BudgetAllocation, neededTokens: Long): PlannedGrant =
        planWithin(budget, allocation, neededTokens).also { budget.holding.grant.plan(it.before, it.after) }

    private fun planWithin(budget: CustomerBudget, allocation: BudgetAllocation, neededTokens: Long): PlannedGrant {
        val before = allocation.grantOf(self)
        // An update whose outcome was unknown may have closed the grant; its charges count once.
        if (budget.isClosing && self !in allocation.grants) return PlannedGrant(before, before, allocation)
        val after = desiredGrant(budget, allocation, neededTokens)
        val updated = if (budget.isClosing) {
            allocation.withClosedGrant(self, HolderCharge.exactly(budget.holding.committedTokens))
        } else {
            allocation.withGrant(self, after)
        }
        return PlannedGrant(before, after, updated)
    }

    /**
     * Returns whether the ledger should be read again if its local copy has no free tokens, since other routers may
     * have returned some. Without a waiting request it is read at most once per [LEDGER_READ_INTERVAL_MILLISECONDS],
     * and in a large fleet less often, so that the reads of all routers together do not grow with the fleet.
     */
    private fun isReadDue(budget: CustomerBudget, neededTokens: Long): Boolean {
        val now = clock.now()
        if (neededTokens == 0L && now < budget.nextReadAt) return false
        val intervalOfFleet = peerReports.liveCount() * LEDGER_READ_INTERVAL_PER_ROUTER_MILLISECONDS
        budget.nextReadAt = now.plusMilliseconds(maxOf(LEDGER_READ_INTERVAL_MILLISECONDS, intervalOfFleet))
        return true
    }

    /** Returns when an update that met conflicts and that no request waits for is tried again, at random by router. */
    private fun nextUpdateAt(): MonotonicTime {
        val spread = peerReports.liveCount() * UPDATE_SPREAD_PER_ROUTER_MILLISECONDS
        return clock.now().plusMilliseconds((spread * Math.random()).toLong())
    }

    private fun failUnconfirmed(budget: CustomerBudget, append: StreamAppend): GrantUpdateOutcome {
        log.stateChange(
            "budget",
            "The store did not confirm a grant update.",
            "customer" to budget.id.value,
            "outcome" to append,
        )
        return GrantUpdateOutcome.FAILED
    }

    private fun desiredGrant(budget: CustomerBudget, allocation: BudgetAllocation, neededTokens: Long): Long {
        if (budget.isClosing) return budget.holding.committedTokens
        val prepaid = customerOf(budget.id)?.prepaidTokens ?: return allocation.grantOf(self)
        val desired = policy.grantFor(
            self,
            budget.holding,
            allocation,
            prepaid,
            fleetBudgets.remainingBudgetOf(budget),
            peerReports.liveCount(),
            neededTokens,
            clock.now(),
        )
        // Tokens that look free may belong to a grant that the store lost and its holder has not stored again.
        return if (isSettling(budget)) minOf(desired, allocation.grantOf(self)) else desired
    }

    private fun isSettling(budget: CustomerBudget): Boolean {
        val milliseconds = SETTLING_MILLISECONDS + peerReports.liveCount() * SETTLING_PER_ROUTER_MILLISECONDS
        return budget.ledger.isSettling(clock.now(), milliseconds)
    }

    private fun logConflicts(budget: CustomerBudget, planned: PlannedGrant, attempts: Int): Unit = log.stateChange(
        "budget",
        "Other routers updated the partition before each attempt at a grant update.",
        "customer" to budget.id.value,
        "attempts" to attempts,
        "before" to planned.before,
        "after" to planned.after,
        "available" to budget.holding.availableTokens,
    )

    private fun logUpdate(budget: CustomerBudget, stored: PlannedGrant): Unit = log.stateChange(
        "budget",
        "Updated a grant.",
        "customer" to budget.id.value,
        "before" to stored.before,
        "after" to stored.after,
        "used" to budget.holding.usedTokens,
        "allocated" to stored.allocation.allocatedTokens,
    )

    /**
     * A planned change of this router's grant.
     *
     * @property before the grant in tokens as of the allocation on which the plan is based
     * @property after the planned grant in tokens
     * @property allocation the planned allocation of the customer
     */
    private class PlannedGrant(val before: Long, val after: Long, val allocation: BudgetAllocation)

    private companion object {
        /** Twice the interval at which routers check for surplus grants to return. */
        const val LEDGER_READ_INTERVAL_MILLISECONDS = 500L

        /** Several times what routers take to notice that the store came back from a copy. */
        const val SETTLING_MILLISECONDS = 3_000L

        /** Twice the time over which routers spread what they store again. */
        const val SETTLING_PER_ROUTER_MILLISECONDS = 40L

        /** About forty reads a second for each customer by all routers. */
        const val LEDGER_READ_INTERVAL_PER_ROUTER_MILLISECONDS = 25L

        /** About the time in which each router can store one update without conflicts. */
        const val UPDATE_SPREAD_PER_ROUTER_MILLISECONDS = 12L
    }
}
