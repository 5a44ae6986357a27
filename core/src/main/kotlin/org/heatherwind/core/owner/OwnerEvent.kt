package org.heatherwind.core.owner

import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.SettlementOutcome

/** Input of a shard owner. */
public sealed interface OwnerEvent {
    /**
     * An entry router requests a reservation of [tokens], the most that its request can use. The response is due by
     * [waitUntil]; the request itself ends by [deadline].
     */
    public data class Reserve(
        val reservation: ReservationId,
        val request: RequestKey,
        val budget: BudgetId,
        val keyDigest: Digest,
        val tokens: Long,
        val entry: Incarnation,
        val waitUntil: Timestamp,
        val deadline: Timestamp,
        val claim: AttemptClaim? = null,
    ) : OwnerEvent

    /**
     * An entry router reports how a request ended that ran under the grant of [holder]. [holder] is null when the entry
     * router received no response that states whether, and by which holder, the tokens were reserved.
     */
    public data class Settle(
        val reservation: ReservationId,
        val request: RequestKey,
        val budget: BudgetId,
        val holder: Incarnation?,
        val charged: Long,
        val outcome: SettlementOutcome,
        val attemptEnd: AttemptEnd? = null,
    ) : OwnerEvent

    /** [batch] was read from the shard's stream at [offset]. */
    public data class BatchRead(val offset: Long, val batch: LedgerBatch) : OwnerEvent

    /** The reader fell behind the log's retention and continues from a newer state, [ledger]. */
    public data class LedgerReplaced(val ledger: LedgerState) : OwnerEvent

    /** A router process ended without a graceful stop. */
    public data class ProcessGone(val process: Incarnation) : OwnerEvent

    /** No router has an unsettled request left under a grant of [holder], which was declared gone. */
    public data class HolderRequestsSettled(val holder: Incarnation) : OwnerEvent

    /** Periodic event on which timeouts are checked. */
    public data object Tick : OwnerEvent

    /** The router is stopping and returns its free tokens. */
    public data object Drain : OwnerEvent
}

/** Claim on non-idempotent work, which must be recorded before the work runs. */
public data class AttemptClaim(val attempt: AttemptKey, val fingerprint: Digest)

/** How a claimed attempt ended. */
public data class AttemptEnd(val attempt: AttemptKey, val outcome: AttemptOutcome)
