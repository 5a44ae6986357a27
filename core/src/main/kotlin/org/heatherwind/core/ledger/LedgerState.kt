package org.heatherwind.core.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp

/** Number of settled requests, and of attempts, that a shard retains at least. */
public const val MINIMUM_RETAINED_KEYS: Int = 200_000

/** Offset of a state to which no batch of the stream has been applied. */
public const val BEFORE_FIRST_OFFSET: Long = -1

/**
 * State of one ledger shard. It depends only on the stream up to [through], so it is the same on every router.
 *
 * @property through offset of the last applied batch
 * @property open requests that were reported open and are not settled
 * @property writers last batch sequence read from each writer
 * @property gone processes that were declared gone and when; their grants are quarantined
 */
public data class LedgerState(
    val through: Long = BEFORE_FIRST_OFFSET,
    val budgets: PersistentMap<BudgetId, BudgetAccount> = persistentHashMapOf(),
    val settled: RecentMap<RequestKey, SettledRequest> = RecentMap(MINIMUM_RETAINED_KEYS),
    val attempts: RecentMap<AttemptKey, AttemptRecord> = RecentMap(MINIMUM_RETAINED_KEYS),
    val open: PersistentMap<ReservationKey, OpenRequest> = persistentHashMapOf(),
    val writers: PersistentMap<Incarnation, Long> = persistentHashMapOf(),
    val gone: PersistentMap<Incarnation, Timestamp> = persistentHashMapOf(),
)

/**
 * Settlement of one request.
 *
 * @property charged charge in tokens
 * @property entry process of the entry router
 */
public data class SettledRequest(val outcome: SettlementOutcome, val charged: Long, val entry: Incarnation)

/** Identifies a reservation under one holder's grant. */
public data class ReservationKey(val holder: Incarnation, val reservation: ReservationId)

/** A request that was reported open and is not settled. [reserved] is the most tokens that it can use. */
public data class OpenRequest(
    val request: RequestKey,
    val budget: BudgetId,
    val reserved: Long,
    val entry: Incarnation,
    val deadline: Timestamp,
    val attempt: AttemptKey? = null,
)

/** Claimed non-idempotent work. [outcome] is null while it runs, and also if the router running it failed. */
public data class AttemptRecord(
    val fingerprint: Digest,
    val reservation: ReservationId,
    val outcome: AttemptOutcome? = null,
)
