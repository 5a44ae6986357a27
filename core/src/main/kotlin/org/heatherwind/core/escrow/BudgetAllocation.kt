package org.heatherwind.core.escrow

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.Incarnation

/**
 * How one customer's prepaid tokens are divided among routers, as the store holds it.
 *
 * @property closedTokens tokens charged by routers that no longer hold a grant
 * @property grants tokens granted to each holder since it started, used ones included
 */
public data class BudgetAllocation(
    val closedTokens: Long = 0,
    val grants: PersistentMap<Incarnation, Long> = persistentHashMapOf(),
) {
    /** Tokens that are no longer free. */
    public val allocatedTokens: Long get() = closedTokens + grants.values.sum()

    /** Tokens granted to [holder] in all. */
    public fun grantOf(holder: Incarnation): Long = grants[holder] ?: 0

    /** This allocation with the grant of [holder] set to [tokens]. */
    public fun withGrant(holder: Incarnation, tokens: Long): BudgetAllocation = copy(grants = grants.put(holder, tokens))

    /** This allocation after [holder] ended with [usedTokens] charged. */
    public fun closing(holder: Incarnation, usedTokens: Long): BudgetAllocation =
        copy(closedTokens = closedTokens + usedTokens, grants = grants.remove(holder))
}
