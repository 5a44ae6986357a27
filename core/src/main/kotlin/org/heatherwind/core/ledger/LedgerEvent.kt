package org.heatherwind.core.ledger

import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId

/** What a folded batch changed, for those who wait for it. */
public sealed interface LedgerEvent {
    /** Tokens, keys or wants of [budget] changed. */
    public data class BudgetChanged(val budget: BudgetId) : LedgerEvent

    /** A want of [holder] was decided: granted, unmet or withdrawn. */
    public data class GrantRequestApplied(val budget: BudgetId, val holder: Incarnation) : LedgerEvent

    /** A return of [tokens] by [holder] was folded. */
    public data class ReturnApplied(val budget: BudgetId, val holder: Incarnation, val tokens: Long) : LedgerEvent

    /** A settlement was folded; [applied] is false for one that came second. */
    public data class SettlementApplied(val record: RequestSettled, val applied: Boolean) : LedgerEvent

    /** A claim by [reservation] was folded; [won] tells whether it may run. */
    public data class ClaimDecided(val attempt: AttemptKey, val reservation: ReservationId, val won: Boolean) :
        LedgerEvent

    /** The grants of [holder] were quarantined. */
    public data class HolderQuarantined(val holder: Incarnation) : LedgerEvent
}

/** The state after a batch, with what it changed. */
public data class FoldResult(val state: LedgerState, val events: List<LedgerEvent>)
