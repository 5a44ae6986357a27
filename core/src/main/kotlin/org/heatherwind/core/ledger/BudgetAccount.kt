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
 * State of one budget after the records applied so far. All counts are in tokens.
 *
 * @property topUpKeys keys of the applied top-ups, by which repeats are recognised
 * @property prepaid total of all top-ups
 * @property spent total of all charges, never more than [prepaid]
 * @property outstanding sum of [remaining]
 * @property remaining tokens that each holder was granted and has not charged or returned
 * @property demand demand that each holder reported last, in tokens per minute
 * @property pendingRequests grant requests that wait for tokens, in the log's order
 * @property shortfall charges that neither a grant nor the available tokens covered; any value but 0 indicates a fault
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

    /** Returns the tokens left of the grant of [holder]. */
    public fun remainingOf(holder: Incarnation): Long = remaining[holder] ?: 0

    /** Returns this account with [tokens] moved from the available tokens to the grant of [holder]. */
    internal fun withGrant(holder: Incarnation, tokens: Long): BudgetAccount =
        copy(outstanding = outstanding + tokens, remaining = remaining.put(holder, remainingOf(holder) + tokens))

    /** Returns this account with up to [tokens] of the grant of [holder] made available again. */
    internal fun withRelease(holder: Incarnation, tokens: Long): BudgetAccount {
        val released = tokens.coerceIn(0, remainingOf(holder))
        return copy(outstanding = outstanding - released, remaining = remaining.minusTokens(holder, released))
    }

    /** Returns this account with the charge of a request changed from [previousCharge] to [newCharge] tokens. */
    internal fun withReplacedCharge(holder: Incarnation, previousCharge: Long, newCharge: Long): BudgetAccount =
        if (newCharge >= previousCharge) {
            withCharge(holder, newCharge - previousCharge)
        } else {
            copy(spent = spent - (previousCharge - newCharge))
        }

    /**
     * Returns this account with [tokens] charged to the grant of [holder] and, once that is used up, to the available
     * tokens. What neither covers is added to [shortfall].
     */
    internal fun withCharge(holder: Incarnation, tokens: Long): BudgetAccount {
        val fromGrant = minOf(tokens, remainingOf(holder))
        val fromAvailable = minOf(tokens - fromGrant, available)
        return copy(
            spent = spent + fromGrant + fromAvailable,
            outstanding = outstanding - fromGrant,
            remaining = remaining.minusTokens(holder, fromGrant),
            shortfall = shortfall + tokens - fromGrant - fromAvailable,
        )
    }

    private fun PersistentMap<Incarnation, Long>.minusTokens(holder: Incarnation, tokens: Long) =
        when (val left = remainingOf(holder) - tokens) {
            0L -> remove(holder)
            else -> put(holder, left)
        }
}

/**
 * A grant request that waits for tokens.
 *
 * @property wanted tokens to grant at most
 * @property atLeast tokens to grant at least; the request waits until this many are available
 */
public data class PendingGrantRequest(val wanted: Long, val atLeast: Long)
