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
import org.heatherwind.core.ledger.RequestSettled
import org.heatherwind.core.ledger.ReservationKey

/**
 * State of one router as shard owner of one ledger shard.
 *
 * @property holder this router's process, to which its grants are made
 * @property open admitted requests that are not settled, by reservation
 * @property reservationsByRequest reservation of each request that is open or settling here
 * @property settling settlements appended but not yet read from the log
 * @property isDraining whether the router is stopping
 */
public data class OwnerState(
    val holder: Incarnation,
    val ledger: LedgerState,
    val budgetStates: PersistentMap<BudgetId, OwnerBudgetState> = persistentHashMapOf(),
    val open: PersistentMap<ReservationId, AdmittedRequest> = persistentHashMapOf(),
    val reservationsByRequest: PersistentMap<RequestKey, ReservationId> = persistentHashMapOf(),
    val settling: PersistentMap<ReservationKey, RequestSettled> = persistentHashMapOf(),
    val isDraining: Boolean = false,
) {
    /** Returns the tokens of [budget] that are granted to this owner and not committed. */
    public fun freeTokens(budget: BudgetId): Long {
        val granted = ledger.budgets[budget]?.remainingOf(holder) ?: 0
        return granted - (budgetStates[budget]?.committed ?: 0)
    }

    /** Whether new requests are refused, because the router is draining or its process was declared gone. */
    public val refusesRequests: Boolean get() = isDraining || holder in ledger.gone
}

/**
 * State of one budget at this owner.
 *
 * @property committed tokens reserved by open requests, plus charges and returns not yet read from the log
 * @property hasUnreadGrantRequest whether a grant request was appended and not yet read from the log
 * @property waiting reservations that wait for tokens, oldest first
 * @property demand forecast of the demand that arrives at this owner
 */
public data class OwnerBudgetState(
    val committed: Long = 0,
    val hasUnreadGrantRequest: Boolean = false,
    val waiting: PersistentList<WaitingReservation> = persistentListOf(),
    val demand: DemandForecast = DemandForecast(),
)

/**
 * A reservation that waits for tokens.
 *
 * @property isGrantRequestAppended whether a grant request was appended since the reservation arrived
 * @property isGrantRequestApplied whether that grant request was read from the log, so that the local ledger is newer
 * than the reservation
 */
public data class WaitingReservation(
    val event: OwnerEvent.Reserve,
    val isGrantRequestAppended: Boolean = false,
    val isGrantRequestApplied: Boolean = false,
)

/**
 * A request for which this owner has reserved [reserved] tokens.
 *
 * @property waitUntil time by which the entry router needs the response, and so the decision on the claim
 * @property isClaimPending whether its claim was appended and not yet read from the log; it must not run before
 */
public data class AdmittedRequest(
    val request: RequestKey,
    val budget: BudgetId,
    val reserved: Long,
    val entry: Incarnation,
    val waitUntil: Timestamp,
    val deadline: Timestamp,
    val claim: AttemptClaim? = null,
    val isClaimPending: Boolean = false,
)
