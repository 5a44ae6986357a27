package org.heatherwind.gateway.state

import kotlinx.coroutines.CompletableDeferred
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.BudgetHolding
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicTime

/** What this router holds of one customer's budget, and what it waits for. */
internal class CustomerBudget(val id: CustomerId, val holding: BudgetHolding, val ledger: LedgerPartition) {
    /** How the budget is divided, by the last read. */
    val allocation: BudgetAllocation get() = ledger.allocationOf(id)

    /** The change of the grant that is under way. */
    var change: CompletableDeferred<GrantUpdateOutcome>? = null

    /** When other routers may be asked again. */
    var nextBorrowing = MonotonicTime.distantPast

    /** When a refill ahead of need may read the store for tokens that others gave back. */
    var nextReading = MonotonicTime.distantPast

    /** Whether the grant is being closed for good. */
    var isClosing = false

    /** The largest request that waits for a higher ceiling. */
    var neededTokens = 0L
        private set

    /** Whether the store answered when it was last asked. */
    var isStoreCurrent = false

    /** The most that is used while the outcome of a change is unknown. */
    var certainTokens = Long.MAX_VALUE

    /** Has the next report allow [tokens] more. */
    fun need(tokens: Long) {
        neededTokens = maxOf(neededTokens, tokens)
    }

    /** Notes that a report was made that allows what was needed. */
    fun clearNeed() {
        neededTokens = 0
    }
}

/** How a change of a grant ended. */
internal enum class GrantUpdateOutcome {
    /** The store holds the new grant. */
    UPDATED,

    /** The store shows nothing that could be added. */
    INSUFFICIENT,

    /** The store did not confirm a change. */
    FAILED,
}
