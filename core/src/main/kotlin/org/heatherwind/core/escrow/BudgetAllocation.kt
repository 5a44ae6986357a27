package org.heatherwind.core.escrow

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.Incarnation

/**
 * Division of one customer's prepaid tokens among holders, as recorded in the store.
 *
 * @property closedTokensAtMost upper bound on the tokens charged under closed grants
 * @property closedTokensAtLeast lower bound on the tokens charged under closed grants
 * @property grants tokens granted to each holder since its process started, including those already charged
 */
public data class BudgetAllocation(
    val closedTokensAtMost: Long = 0,
    val closedTokensAtLeast: Long = closedTokensAtMost,
    val grants: PersistentMap<Incarnation, Long> = persistentHashMapOf(),
) {
    /** Tokens that are not free: charged under closed grants, or granted to a holder. */
    public val allocatedTokens: Long get() = closedTokensAtMost + grants.values.sum()

    /** Returns the total grant of [holder] in tokens, 0 if it has none. */
    public fun grantOf(holder: Incarnation): Long = grants[holder] ?: 0

    /** Returns this allocation with the total grant of [holder] set to [tokens]. */
    public fun withGrant(holder: Incarnation, tokens: Long): BudgetAllocation =
        copy(grants = grants.put(holder, tokens))

    /** Returns the smallest allocation that leaves no more tokens free than this one or [other]. */
    public fun atLeast(other: BudgetAllocation): BudgetAllocation = BudgetAllocation(
        closedTokensAtMost = maxOf(closedTokensAtMost, other.closedTokensAtMost),
        closedTokensAtLeast = maxOf(closedTokensAtLeast, other.closedTokensAtLeast),
        grants = other.grants.entries.fold(grants) { all, (holder, tokens) ->
            all.put(holder, maxOf(tokens, all[holder] ?: 0))
        },
    )

    /** Returns this allocation with the grant of [holder] closed at [charge], whose bounds are capped at the grant. */
    public fun withClosedGrant(holder: Incarnation, charge: HolderCharge): BudgetAllocation = copy(
        closedTokensAtMost = closedTokensAtMost + minOf(charge.atMost, grantOf(holder)),
        closedTokensAtLeast = closedTokensAtLeast + minOf(charge.atLeast, grantOf(holder)),
        grants = grants.remove(holder),
    )
}

/** Bounds on the tokens that a process charged before it ended. */
public data class HolderCharge(val atLeast: Long, val atMost: Long) {
    public companion object {
        /** There is no report, so any part of the grant may have been charged. */
        public val unknown: HolderCharge = HolderCharge(atLeast = 0, atMost = Long.MAX_VALUE)

        /** The process never reported the budget, so its spend ceiling stayed at 0 and it charged nothing. */
        public val none: HolderCharge = HolderCharge(atLeast = 0, atMost = 0)

        /** Returns the bounds of a charge of exactly [tokens]. */
        public fun exactly(tokens: Long): HolderCharge = HolderCharge(tokens, tokens)
    }
}
