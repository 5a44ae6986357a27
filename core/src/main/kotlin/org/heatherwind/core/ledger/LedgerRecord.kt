package org.heatherwind.core.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp

/** One record of a ledger shard's stream. [LedgerFold] decides whether it takes effect. */
@Serializable
public sealed interface LedgerRecord

/** Creates a budget without tokens. A second record for the same [budget] changes nothing. */
@Serializable
@SerialName("budget")
public data class BudgetCreated(val budget: BudgetId, val customer: CustomerId) : LedgerRecord

/** Allows requests with the key of this digest to use the budget. */
@Serializable
@SerialName("key")
public data class KeyAdded(val budget: BudgetId, val keyDigest: Digest) : LedgerRecord

/** Adds prepaid tokens. A second record with the same [topUpKey] changes nothing. */
@Serializable
@SerialName("top-up")
public data class ToppedUp(val budget: BudgetId, val tokens: Long, val topUpKey: String) : LedgerRecord

/**
 * Requests a grant for [holder] of at most [wanted] and at least [atLeast]. While fewer are available,
 * the request stays pending. A later request of the same holder replaces it and joins the queue at its end; one with
 * [wanted] of 0 withdraws it.
 *
 * @property demandPerMinute current demand of the holder, in tokens per minute
 */
@Serializable
@SerialName("want")
public data class GrantRequested(
    val budget: BudgetId,
    val holder: Incarnation,
    val wanted: Long,
    val atLeast: Long,
    val demandPerMinute: Long,
) : LedgerRecord

/** Returns free [tokens] of a grant to its budget. */
@Serializable
@SerialName("return")
public data class GrantReturned(val budget: BudgetId, val holder: Incarnation, val tokens: Long) : LedgerRecord

/**
 * Records that a request, with the [attempt] that it claims, may run under the holder's grant, so that other routers
 * can settle it when the holder is gone.
 *
 * @property reserved most tokens that the request can use
 * @property entry process of the entry router
 */
@Serializable
@SerialName("open")
public data class RequestOpened(
    val budget: BudgetId,
    val holder: Incarnation,
    val reservation: ReservationId,
    val request: RequestKey,
    val reserved: Long,
    val entry: Incarnation,
    val deadline: Timestamp,
    val attempt: AttemptKey? = null,
) : LedgerRecord

/** How a request ended, which determines its charge. */
@Serializable
public enum class SettlementOutcome {
    /** The whole response was sent. */
    COMPLETED,

    /** The response was interrupted; the charge is the most that may have been used. */
    INTERRUPTED,

    /** The target did not run the request; nothing is charged, and a retry is charged separately. */
    NOT_RUN,
}

/**
 * Charges a request to the holder's grant. The first settlement in the log's order determines the charge, except that a
 * completion replaces the charge of an earlier interruption, so each request is charged once.
 */
@Serializable
@SerialName("settle")
public data class RequestSettled(
    val budget: BudgetId,
    val holder: Incarnation,
    val reservation: ReservationId,
    val request: RequestKey,
    val charged: Long,
    val outcome: SettlementOutcome,
) : LedgerRecord

/**
 * Claims non-idempotent work for [reservation]. The first claim in the log's order may run it; a later one
 * only after [AttemptOutcome.NotRun] was recorded.
 */
@Serializable
@SerialName("claim")
public data class AttemptClaimed(val attempt: AttemptKey, val fingerprint: Digest, val reservation: ReservationId) :
    LedgerRecord

/** Records the outcome of a claimed attempt. */
@Serializable
@SerialName("finish")
public data class AttemptFinished(
    val attempt: AttemptKey,
    val reservation: ReservationId,
    val outcome: AttemptOutcome,
) : LedgerRecord

/** Declares that a process ended without a graceful stop, which quarantines its grants. */
@Serializable
@SerialName("gone")
public data class HolderGone(val holder: Incarnation, val declaredAt: Timestamp) : LedgerRecord

/** Releases a quarantined holder's grants, except the tokens reserved by requests that are open under them. */
@Serializable
@SerialName("release")
public data class HolderReleased(val holder: Incarnation) : LedgerRecord

/** State of the shard through an offset, from which a reader can start. A reader already past it ignores it. */
@Serializable
@SerialName("snapshot")
public data class SnapshotTaken(val snapshot: LedgerSnapshot) : LedgerRecord
