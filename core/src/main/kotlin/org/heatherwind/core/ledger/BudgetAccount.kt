package org.heatherwind.core.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentMapOf
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation

/**
 * One budget as the log's order has it. All counts are tokens.
 *
 * @property prepaid everything ever topped up
 * @property spent everything ever charged, never more than [prepaid]
 * @property outstanding sum of [remaining]
 * @property remaining tokens that each holder was granted and has not charged or returned
 * @property demand each holder's last stated demand in tokens a minute
 * @property pendingRequests wants that wait for tokens, in the log's order
 * @property shortfall charges that no grant covered; anything but 0 is a fault
 */
public data class BudgetAccount(
    val customer: CustomerId,
    val keyDigests: PersistentSet<Digest> = persistentHashSetOf(),
    val topUpKeys: PersistentSet<String> = persistentHashSetOf(),
    val prepaid: Long = 0,
    val spent: Long = 0,
    val outstanding: Long = 0,
    val remaining: PersistentMap<Incarnation, Long> = persistentHashMapOf(),
    val demand: PersistentMap<Incarnation, Long> = persistentHashMapOf(),
    val pendingRequests: PersistentMap<Incarnation, PendingGrantRequest> = persistentMapOf(),
    val shortfall: Long = 0,
) {
    /** Tokens that are neither spent nor granted. */
    val available: Long get() = prepaid - spent - outstanding

    /** Tokens that are not spent. */
    val unspent: Long get() = prepaid - spent

    /** The tokens left of the grant of [holder]. */
    public fun remainingOf(holder: Incarnation): Long = remaining[holder] ?: 0

    /** This account with [tokens] moved from the available ones to [holder]. */
    internal fun granting(holder: Incarnation, tokens: Long): BudgetAccount =
        copy(outstanding = outstanding + tokens, remaining = remaining.put(holder, remainingOf(holder) + tokens))

    /** This account with up to [tokens] of the grant of [holder] made available again. */
    internal fun releasing(holder: Incarnation, tokens: Long): BudgetAccount {
        val released = tokens.coerceIn(0, remainingOf(holder))
        return copy(outstanding = outstanding - released, remaining = remaining.reduced(holder, released))
    }

    /** This account with the bill of a request changed from [billed] to [charged] tokens. */
    internal fun billing(holder: Incarnation, billed: Long, charged: Long): BudgetAccount =
        if (charged >= billed) charging(holder, charged - billed) else copy(spent = spent - (billed - charged))

    /** This account with [tokens] charged against the grant of [holder], and against available tokens after it. */
    internal fun charging(holder: Incarnation, tokens: Long): BudgetAccount {
        val fromGrant = minOf(tokens, remainingOf(holder))
        val fromAvailable = minOf(tokens - fromGrant, available)
        return copy(
            spent = spent + fromGrant + fromAvailable,
            outstanding = outstanding - fromGrant,
            remaining = remaining.reduced(holder, fromGrant),
            shortfall = shortfall + tokens - fromGrant - fromAvailable,
        )
    }

    private fun PersistentMap<Incarnation, Long>.reduced(holder: Incarnation, tokens: Long) =
        when (val left = remainingOf(holder) - tokens) {
            0L -> remove(holder)
            else -> put(holder, left)
        }
}

/** Tokens that a holder asked for and that were not free. */
public data class PendingGrantRequest(val wanted: Long, val atLeast: Long)
