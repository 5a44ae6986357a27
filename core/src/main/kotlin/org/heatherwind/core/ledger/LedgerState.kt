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

/** Least number of settled requests and of attempts that a shard remembers. */
public const val REMEMBERED_KEYS: Int = 200_000

/** Offset before the first record of a stream. */
public const val BEFORE_FIRST_OFFSET: Long = -1

/**
 * The state of one ledger shard: a pure fold over its stream, the same on every router.
 *
 * @property through offset of the last folded batch
 * @property writers the last batch number seen of each writer
 * @property gone processes declared gone, with the moment; their grants are quarantined
 */
public data class LedgerState(
    val through: Long = BEFORE_FIRST_OFFSET,
    val budgets: PersistentMap<BudgetId, BudgetAccount> = persistentHashMapOf(),
    val settled: RecentMap<RequestKey, SettledRequest> = RecentMap(REMEMBERED_KEYS),
    val attempts: RecentMap<AttemptKey, AttemptRecord> = RecentMap(REMEMBERED_KEYS),
    val open: PersistentMap<ReservationKey, OpenRequest> = persistentHashMapOf(),
    val writers: PersistentMap<Incarnation, Long> = persistentHashMapOf(),
    val gone: PersistentMap<Incarnation, Timestamp> = persistentHashMapOf(),
)

/** The bill of one request: how it ended, what was charged in tokens, and the router at which it arrived. */
public data class SettledRequest(val outcome: SettlementOutcome, val charged: Long, val entry: Incarnation)

/** Names a reservation under one holder's grant. */
public data class ReservationKey(val holder: Incarnation, val reservation: ReservationId)

/** A request that was reported open and is not settled. [reserved] is in tokens. */
public data class OpenRequest(
    val request: RequestKey,
    val budget: BudgetId,
    val reserved: Long,
    val entry: Incarnation,
    val deadline: Timestamp,
    val attempt: AttemptKey? = null,
)

/** A claimed piece of non-idempotent work; [outcome] is null while it runs or after its runner died. */
public data class AttemptRecord(
    val fingerprint: Digest,
    val reservation: ReservationId,
    val outcome: AttemptOutcome? = null,
)
