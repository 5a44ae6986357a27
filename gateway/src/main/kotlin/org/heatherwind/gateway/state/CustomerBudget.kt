package org.heatherwind.gateway.state

import kotlinx.coroutines.CompletableDeferred
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.BudgetHolding
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicTime

/** This router's holding of one customer's budget, and the state of its requests for more tokens. */
internal class CustomerBudget(val id: CustomerId, val holding: BudgetHolding, val ledger: LedgerPartition) {
    /** The grants of all holders and the charges on closed grants, as of the last read. */
    val allocation: BudgetAllocation get() = ledger.allocationOf(id)

    /** The grant update in progress, or null. */
    var pendingUpdate: CompletableDeferred<GrantUpdateOutcome>? = null

    /** Whether [pendingUpdate] began for a caller that waits for it, so it does not give up early. */
    var isPendingUpdateAwaited = false

    /** Whether the initial grant was requested and not stored yet. */
    var isInitialGrantDue = false

    /** Earliest time of the next quota transfer request to other routers. */
    var nextTransferRequestAt = MonotonicTime.distantPast

    /** Earliest time at which a grant update that no reservation waits for may read the store for returned tokens. */
    var nextReadAt = MonotonicTime.distantPast

    /** Earliest time of the next grant update that no reservation waits for, after one that met conflicts. */
    var nextBackgroundUpdateAt = MonotonicTime.distantPast

    /** Whether the grant is being closed because the process ends. */
    var isClosing = false

    /** Tokens of the requests that wait for a higher ceiling; one report serves them all. */
    var waitingTokens = 0L

    /** Tokens that another router has asked for beyond the ceiling. */
    private var askedTokens = 0L

    /** Tokens that the next ceiling should allow for beyond those committed. */
    val neededTokens: Long get() = maxOf(waitingTokens, askedTokens)

    /** Whether the last read of the ledger succeeded. */
    var isLastReadSuccessful = false

    /** Makes the ceiling of the next report allow for a quota transfer of [tokens]. */
    fun requestCeiling(tokens: Long) {
        askedTokens = maxOf(askedTokens, tokens)
    }

    /** Called when a report was composed whose ceiling covers [neededTokens]. */
    fun clearCeilingRequest() {
        askedTokens = 0
    }
}

/** The outcome of a grant update. */
internal enum class GrantUpdateOutcome {
    /** The new grant is stored. */
    UPDATED,

    /** As of the last read of the store, no free tokens can be added. */
    INSUFFICIENT,

    /** The store did not confirm the update, or could not be read. */
    FAILED,
}
