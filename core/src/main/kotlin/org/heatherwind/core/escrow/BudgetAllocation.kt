package org.heatherwind.core.escrow

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.Incarnation

/**
 * How one customer's prepaid tokens are divided among routers, as the store holds it.
 *
 * @property closedTokens tokens that routers without a grant any more charged at most
 * @property certainClosedTokens tokens that they charged at least
 * @property grants tokens granted to each holder since it started, used ones included
 */
public data class BudgetAllocation(
    val closedTokens: Long = 0,
    val certainClosedTokens: Long = closedTokens,
    val grants: PersistentMap<Incarnation, Long> = persistentHashMapOf(),
) {
    /** Tokens that are no longer free. */
    public val allocatedTokens: Long get() = closedTokens + grants.values.sum()

    /** Tokens granted to [holder] in all. */
    public fun grantOf(holder: Incarnation): Long = grants[holder] ?: 0

    /** This allocation with the grant of [holder] set to [tokens]. */
    public fun withGrant(holder: Incarnation, tokens: Long): BudgetAllocation =
        copy(grants = grants.put(holder, tokens))

    /** This allocation after [holder] ended with the tokens of [charge] charged. */
    public fun closing(holder: Incarnation, charge: HolderCharge): BudgetAllocation = copy(
        closedTokens = closedTokens + minOf(charge.atMost, grantOf(holder)),
        certainClosedTokens = certainClosedTokens + minOf(charge.atLeast, grantOf(holder)),
        grants = grants.remove(holder),
    )
}

/** Bounds on the tokens that a process charged before it ended. */
public data class HolderCharge(val atLeast: Long, val atMost: Long) {
    public companion object {
        /** Nothing is known but the grant. */
        public val unknown: HolderCharge = HolderCharge(atLeast = 0, atMost = Long.MAX_VALUE)

        /** The process held the budget and never reported a charge, so its ceiling was never raised. */
        public val none: HolderCharge = HolderCharge(atLeast = 0, atMost = 0)

        /** Exactly [tokens] were charged. */
        public fun exactly(tokens: Long): HolderCharge = HolderCharge(tokens, tokens)
    }
}
