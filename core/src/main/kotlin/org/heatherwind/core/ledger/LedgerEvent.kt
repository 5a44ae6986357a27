package org.heatherwind.core.ledger

import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId

/** A change made by an applied batch. */
public sealed interface LedgerEvent {
    /** Tokens, keys or grant requests of [budget] may have changed. */
    public data class BudgetChanged(val budget: BudgetId) : LedgerEvent

    /** A grant request of [holder] was granted, became pending or was withdrawn. */
    public data class GrantRequestApplied(val budget: BudgetId, val holder: Incarnation) : LedgerEvent

    /** A return of [tokens] by [holder] was applied. */
    public data class ReturnApplied(val budget: BudgetId, val holder: Incarnation, val tokens: Long) : LedgerEvent

    /**
     * The settlement [record] was read. [isApplied] is false if it left the request's charge unchanged, for example
     * because an earlier settlement determines it.
     */
    public data class SettlementRead(val record: RequestSettled, val isApplied: Boolean) : LedgerEvent

    /** A claim by [reservation] was read; [isAccepted] is whether that reservation may run the work. */
    public data class ClaimDecided(val attempt: AttemptKey, val reservation: ReservationId, val isAccepted: Boolean) :
        LedgerEvent

    /** [holder] was declared gone, which quarantines its grants. */
    public data class HolderQuarantined(val holder: Incarnation) : LedgerEvent
}

/** State after a batch and the changes that the batch made, in order. */
public data class FoldResult(val state: LedgerState, val events: List<LedgerEvent>)
