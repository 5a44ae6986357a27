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

/** What a home reacts to. */
public sealed interface OwnerEvent {
    /**
     * An entry asks to reserve [tokens], the request's worst case. The answer comes by [waitUntil]; the request itself
     * ends by [deadline].
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
     * An entry reports how a request ended that ran under the grant of [holder]; null when the entry never learned
     * whether and by whom the tokens were reserved.
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

    /** A batch was read back from the shard's stream. */
    public data class BatchRead(val offset: Long, val batch: LedgerBatch) : OwnerEvent

    /** The reader fell behind the log's retention and went on from a newer state. */
    public data class LedgerReplaced(val ledger: LedgerState) : OwnerEvent

    /** A router's process is known to be gone without a graceful stop. */
    public data class ProcessGone(val process: Incarnation) : OwnerEvent

    /** Every router that could run requests under the gone [holder] has none left that is not settled. */
    public data class AccountsClosed(val holder: Incarnation) : OwnerEvent

    /** Time passed. */
    public data object Tick : OwnerEvent

    /** The router stops: idle grants go back. */
    public data object Drain : OwnerEvent
}

/** Non-idempotent work that must be claimed before it runs. */
public data class AttemptClaim(val attempt: AttemptKey, val fingerprint: Digest)

/** How a claimed attempt ended. */
public data class AttemptEnd(val attempt: AttemptKey, val outcome: AttemptOutcome)
