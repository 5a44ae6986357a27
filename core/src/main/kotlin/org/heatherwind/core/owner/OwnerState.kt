package org.heatherwind.core.owner

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.OpenKey
import org.heatherwind.core.ledger.RequestSettled

/**
 * A router as holder of grants of one ledger shard.
 *
 * @property holder this router's process, under which its grants stand
 * @property open requests that reserved tokens here and did not settle
 * @property running the reservation of each request that is open or settling here
 * @property settling settlements appended and not read back
 */
public data class OwnerState(
    val holder: Incarnation,
    val ledger: LedgerState,
    val holdings: PersistentMap<BudgetId, Holding> = persistentHashMapOf(),
    val open: PersistentMap<ReservationId, HeldRequest> = persistentHashMapOf(),
    val running: PersistentMap<RequestKey, ReservationId> = persistentHashMapOf(),
    val settling: PersistentMap<OpenKey, RequestSettled> = persistentHashMapOf(),
    val isDraining: Boolean = false,
) {
    /** Tokens of [budget] that are granted here and not committed. */
    public fun freeOf(budget: BudgetId): Long {
        val held = ledger.budgets[budget]?.remainingOf(holder) ?: 0
        return held - (holdings[budget]?.committed ?: 0)
    }

    /** Whether this home takes no new requests: it stops, or its process was declared gone. */
    public val isClosed: Boolean get() = isDraining || holder in ledger.gone
}

/**
 * What this home does with one budget.
 *
 * @property committed tokens of open requests, of charges not read back and of returns not read back
 * @property isGrantRequestPending whether a want was appended and not read back
 * @property waiting reservations that wait for tokens, oldest first
 */
public data class Holding(
    val committed: Long = 0,
    val isGrantRequestPending: Boolean = false,
    val waiting: PersistentList<WaitingReserve> = persistentListOf(),
    val demand: DemandForecast = DemandForecast(),
)

/**
 * A reservation that waits for tokens.
 *
 * @property isAsked whether a want was appended since it came
 * @property isChecked whether that want was read back, so that the ledger here is newer than its arrival
 */
public data class WaitingReserve(
    val event: OwnerEvent.Reserve,
    val isAsked: Boolean = false,
    val isChecked: Boolean = false,
)

/** A request that holds [reserved] tokens here; [isClaimPending] until its claim was read back, by [waitUntil]. */
public data class HeldRequest(
    val request: RequestKey,
    val budget: BudgetId,
    val reserved: Long,
    val entry: Incarnation,
    val waitUntil: Timestamp,
    val deadline: Timestamp,
    val claim: AttemptClaim? = null,
    val isClaimPending: Boolean = false,
)
