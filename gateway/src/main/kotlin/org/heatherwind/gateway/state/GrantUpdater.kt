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
 * Changes this router's grants by conditional appends to the store, so that the grants of all routers together never
 * exceed what was prepaid.
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
    /** Brings the grant of [account] to what the policy says, [neededTokens] of an open request included. */
    suspend fun change(account: CustomerBudget, neededTokens: Long): GrantUpdateOutcome {
        val ledger = account.ledger
        var isFresh = false
        repeat(BudgetLedgers.MAXIMUM_CONFLICTS) {
            if (!ledger.isCurrent) {
                isFresh = ledger.refresh()
                account.isStoreCurrent = isFresh
                if (!isFresh) return GrantUpdateOutcome.FAILED
            }
            val allocation = ledger.allocationOf(account.id)
            val before = allocation.grantOf(self)
            account.holding.setGranted(minOf(before, account.certainTokens))
            val after = aim(account, allocation, neededTokens)
            val isUncertain = account.certainTokens < before
            if (after == before && !isUncertain) {
                if (isFresh || !isReadDue(account, neededTokens)) return GrantUpdateOutcome.INSUFFICIENT
                ledger.distrust()
                return@repeat
            }
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
                    return GrantUpdateOutcome.UPDATED
                }

                StreamAppend.Conflict, is StreamAppend.OutOfSequence -> delay(BudgetLedgers.conflictPause())

                is StreamAppend.Rejected, is StreamAppend.Unknown -> {
                    if (append is StreamAppend.Unknown) distrust(account, minOf(before, after))
                    return unconfirmed(account, append)
                }
            }
        }
        return GrantUpdateOutcome.FAILED
    }

    /** Whether a copy that shows nothing free should be read anew, since others may have given back tokens. */
    private fun isReadDue(account: CustomerBudget, neededTokens: Long): Boolean {
        val now = clock.now()
        if (neededTokens == 0L && now < account.nextReading) return false
        account.nextReading = now.plusMilliseconds(READ_PAUSE_MILLISECONDS)
        return true
    }

    /** Keeps to [tokens] until a change is confirmed, since the one that got no answer may take effect later. */
    private fun distrust(account: CustomerBudget, tokens: Long) {
        account.certainTokens = minOf(account.certainTokens, tokens)
        account.holding.setGranted(account.certainTokens)
    }

    private fun unconfirmed(account: CustomerBudget, append: StreamAppend): GrantUpdateOutcome {
        log.stateChange("budget", "A grant was not confirmed.", "customer" to account.id.value, "outcome" to append)
        return GrantUpdateOutcome.FAILED
    }

    private fun aim(account: CustomerBudget, allocation: BudgetAllocation, neededTokens: Long): Long {
        if (account.isClosing) return account.holding.committedTokens
        val prepaid = customerOf(account.id)?.prepaidTokens ?: return allocation.grantOf(self)
        return policy.grantFor(
            self,
            account.holding,
            allocation,
            prepaid,
            fleetBudgets.remainderOf(account),
            peerReports.liveCount(),
            neededTokens,
            clock.now(),
        )
    }

    private fun logChange(account: CustomerBudget, before: Long, after: Long, allocation: BudgetAllocation): Unit =
        log.stateChange(
            "budget",
            "A grant changed.",
            "customer" to account.id.value,
            "before" to before,
            "after" to after,
            "used" to account.holding.usedTokens,
            "allocated" to allocation.allocatedTokens,
        )

    private companion object {
        /** Twice the time in which others notice what they need not hold. */
        const val READ_PAUSE_MILLISECONDS = 500L
    }
}
