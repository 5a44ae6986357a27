package org.heatherwind.gateway.state

import kotlinx.coroutines.delay
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
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
     * Sets the grant of [budget] to the size that the policy computes, including [neededTokens] of a waiting request.
     * An append that conflicts with one of another router is retried after a new read.
     */
    suspend fun update(budget: CustomerBudget, neededTokens: Long): GrantUpdateOutcome {
        val ledger = budget.ledger
        var isRefreshed = false
        repeat(BudgetLedgers.MAXIMUM_ATTEMPTS) {
            if (!ledger.isCurrent) {
                isRefreshed = ledger.refresh()
                budget.isLastReadSuccessful = isRefreshed
                if (!isRefreshed) return GrantUpdateOutcome.FAILED
            }
            val allocation = ledger.allocationOf(budget.id)
            val before = allocation.grantOf(self)
            budget.holding.setGranted(minOf(before, budget.grantLimitTokens))
            val after = desiredGrant(budget, allocation, neededTokens)
            val isLimited = budget.grantLimitTokens < before
            if (after == before && !isLimited) {
                if (isRefreshed || !isReadDue(budget, neededTokens)) return GrantUpdateOutcome.INSUFFICIENT
                ledger.invalidate()
                return@repeat
            }
            if (after < before) budget.holding.setGranted(after)
            val updated = if (budget.isClosing) {
                allocation.withClosedGrant(self, HolderCharge.exactly(budget.holding.committedTokens))
            } else {
                allocation.withGrant(self, after)
            }
            when (val append = ledger.append(mapOf(budget.id to updated))) {
                is StreamAppend.Appended -> {
                    budget.holding.setGranted(after)
                    budget.grantLimitTokens = Long.MAX_VALUE
                    logUpdate(budget, before, after, updated)
                    return GrantUpdateOutcome.UPDATED
                }

                StreamAppend.Conflict, is StreamAppend.OutOfSequence -> delay(BudgetLedgers.conflictPauseMilliseconds())

                is StreamAppend.Rejected, is StreamAppend.Unknown -> {
                    if (append is StreamAppend.Unknown) limitUntilConfirmed(budget, minOf(before, after))
                    return failUnconfirmed(budget, append)
                }
            }
        }
        return GrantUpdateOutcome.FAILED
    }

    /**
     * Returns whether the ledger should be read again if its local copy has no free tokens, since other routers may
     * have returned some. Without a waiting request it is read at most once per [LEDGER_READ_INTERVAL_MILLISECONDS].
     */
    private fun isReadDue(budget: CustomerBudget, neededTokens: Long): Boolean {
        val now = clock.now()
        if (neededTokens == 0L && now < budget.nextReadAt) return false
        budget.nextReadAt = now.plusMilliseconds(LEDGER_READ_INTERVAL_MILLISECONDS)
        return true
    }

    /**
     * Limits the usable grant to [tokens] until an update is confirmed, since the update whose outcome is unknown may
     * still take effect.
     */
    private fun limitUntilConfirmed(budget: CustomerBudget, tokens: Long) {
        budget.grantLimitTokens = minOf(budget.grantLimitTokens, tokens)
        budget.holding.setGranted(budget.grantLimitTokens)
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
        return policy.grantFor(
            self,
            budget.holding,
            allocation,
            prepaid,
            fleetBudgets.remainingBudgetOf(budget),
            peerReports.liveCount(),
            neededTokens,
            clock.now(),
        )
    }

    private fun logUpdate(budget: CustomerBudget, before: Long, after: Long, allocation: BudgetAllocation): Unit =
        log.stateChange(
            "budget",
            "Updated a grant.",
            "customer" to budget.id.value,
            "before" to before,
            "after" to after,
            "used" to budget.holding.usedTokens,
            "allocated" to allocation.allocatedTokens,
        )

    private companion object {
        /** Twice the interval at which routers check for surplus grants to return. */
        const val LEDGER_READ_INTERVAL_MILLISECONDS = 500L
    }
}
