package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.gateway.store.StreamAppend

/** A change of allocations in one partition of the ledger. */
internal fun interface LedgerChange {
    /**
     * Plans the change for the current [allocations]. Called again whenever the partition was read anew, so only the
     * last plan counts.
     *
     * @param isFresh whether the partition was read for this update
     */
    fun plan(allocations: LedgerView, isFresh: Boolean): LedgerPlan
}

/** The allocations of one partition: those that were read, and over them those [planned] by other changes. */
internal class LedgerView(
    private val stored: Map<CustomerId, BudgetAllocation>,
    private val planned: Map<CustomerId, BudgetAllocation>,
) {
    /** The allocation of [customer]; an empty one if it has none. */
    fun of(customer: CustomerId): BudgetAllocation = planned[customer] ?: stored[customer] ?: BudgetAllocation()

    /** All allocations. */
    fun all(): Map<CustomerId, BudgetAllocation> = stored + planned
}

/** What a [LedgerChange] needs. */
internal sealed interface LedgerPlan {
    /** The [allocations] are to be stored. */
    data class Store(val allocations: Map<CustomerId, BudgetAllocation>) : LedgerPlan

    /** Nothing is to be stored. */
    data object Unchanged : LedgerPlan

    /** The partition is to be read before the change is planned. */
    data object Read : LedgerPlan
}

/** The outcome of a [LedgerChange]. */
internal sealed interface LedgerUpdate {
    /** The last plan is stored. */
    data object Stored : LedgerUpdate

    /** The last plan had nothing to store. */
    data object Unchanged : LedgerUpdate

    /** The partition could not be read. */
    data object Unread : LedgerUpdate

    /** Other routers stored their changes first, each time. */
    data object Conflicting : LedgerUpdate

    /** The store did not confirm the last plan; [append] tells whether it may take effect. */
    data class Unconfirmed(val append: StreamAppend) : LedgerUpdate
}
