package org.heatherwind.core.ledger

import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentHashSet
import kotlinx.collections.immutable.toPersistentMap
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

/**
 * A shard's state as it is written to the log and sent to peers.
 *
 * @property through offset of the last applied batch
 * @property settledCurrent current generation of the settled requests, see [RecentMap]
 * @property settledPrevious previous generation of the settled requests
 * @property attemptsCurrent current generation of the claimed attempts
 * @property attemptsPrevious previous generation of the claimed attempts
 */
@Serializable
public data class LedgerSnapshot(
    val through: Long,
    val budgets: List<BudgetEntry>,
    val settledCurrent: List<SettledEntry>,
    val settledPrevious: List<SettledEntry>,
    val attemptsCurrent: List<AttemptEntry>,
    val attemptsPrevious: List<AttemptEntry>,
    val open: List<OpenEntry>,
    val writers: List<ProcessValue>,
    val gone: List<GoneEntry>,
) {
    /** Returns the state from which this snapshot was taken. */
    public fun toState(): LedgerState = LedgerState(
        through = through,
        budgets = budgets.associate { it.budget to it.toAccount() }.toPersistentHashMap(),
        settled = RecentMap(
            capacity = MINIMUM_RETAINED_KEYS,
            current = settledCurrent.associate {
                it.request to it.toSettledRequest()
            }.toPersistentHashMap(),
            previous = settledPrevious.associate {
                it.request to it.toSettledRequest()
            }.toPersistentHashMap(),
        ),
        attempts = RecentMap(
            capacity = MINIMUM_RETAINED_KEYS,
            current = attemptsCurrent.associate { it.key to it.toAttemptRecord() }.toPersistentHashMap(),
            previous = attemptsPrevious.associate { it.key to it.toAttemptRecord() }.toPersistentHashMap(),
        ),
        open = open.associate { ReservationKey(it.holder, it.reservation) to it.toOpenRequest() }.toPersistentHashMap(),
        writers = writers.associate { it.process to it.value }.toPersistentHashMap(),
        gone = gone.associate { it.process to it.declaredAt }.toPersistentHashMap(),
    )

    /** A number that belongs to one process: tokens of a holder, or the last sequence of a writer. */
    @Serializable
    public data class ProcessValue(
        @SerialName("holder") val process: Incarnation,
        @SerialName("tokens") val value: Long,
    )

    /** One process that was declared gone at [declaredAt]. */
    @Serializable
    public data class GoneEntry(val process: Incarnation, val declaredAt: Timestamp)

    /** One pending grant request. A list of them is in the log's order. */
    @Serializable
    public data class PendingGrantRequestEntry(val holder: Incarnation, val wanted: Long, val atLeast: Long)

    /** State of one budget, see [BudgetAccount]. */
    @Serializable
    public data class BudgetEntry(
        val budget: BudgetId,
        val customer: CustomerId,
        val keyDigests: List<Digest>,
        val topUpKeys: List<String>,
        val prepaid: Long,
        val spent: Long,
        val remaining: List<ProcessValue>,
        val demand: List<ProcessValue>,
        @SerialName("unmet") val pendingRequests: List<PendingGrantRequestEntry>,
        val shortfall: Long,
    ) {
        internal fun toAccount(): BudgetAccount = BudgetAccount(
            customer = customer,
            keyDigests = keyDigests.toPersistentHashSet(),
            topUpKeys = topUpKeys.toPersistentHashSet(),
            prepaid = prepaid,
            spent = spent,
            outstanding = remaining.sumOf { it.value },
            remaining = remaining.associate { it.process to it.value }.toPersistentHashMap(),
            demand = demand.associate { it.process to it.value }.toPersistentHashMap(),
            pendingRequests = pendingRequests.associate {
                it.holder to PendingGrantRequest(it.wanted, it.atLeast)
            }.toPersistentMap(),
            shortfall = shortfall,
        )
    }

    /** One settled request, see [SettledRequest]. */
    @Serializable
    public data class SettledEntry(
        val request: RequestKey,
        val outcome: SettlementOutcome,
        val charged: Long,
        val entry: Incarnation,
    ) {
        internal fun toSettledRequest(): SettledRequest = SettledRequest(outcome, charged, entry)
    }

    /** One claimed attempt, see [AttemptRecord]. */
    @Serializable
    public data class AttemptEntry(
        val key: AttemptKey,
        val fingerprint: Digest,
        val reservation: ReservationId,
        val outcome: AttemptOutcome? = null,
    ) {
        internal fun toAttemptRecord(): AttemptRecord = AttemptRecord(fingerprint, reservation, outcome)
    }

    /** One open request, see [OpenRequest]. */
    @Serializable
    public data class OpenEntry(
        val holder: Incarnation,
        val reservation: ReservationId,
        val request: RequestKey,
        val budget: BudgetId,
        val reserved: Long,
        val entry: Incarnation,
        val deadline: Timestamp,
        val attempt: AttemptKey? = null,
    ) {
        internal fun toOpenRequest(): OpenRequest = OpenRequest(request, budget, reserved, entry, deadline, attempt)
    }
}

/** Returns this state as a snapshot. */
public fun LedgerState.toSnapshot(): LedgerSnapshot = LedgerSnapshot(
    through = through,
    budgets = budgets.map { (budget, account) -> account.toEntry(budget) },
    settledCurrent = settled.current.map { it.value.toEntry(it.key) },
    settledPrevious = settled.previous.map { it.value.toEntry(it.key) },
    attemptsCurrent = attempts.current.map { it.value.toEntry(it.key) },
    attemptsPrevious = attempts.previous.map { it.value.toEntry(it.key) },
    open = open.map { (key, request) ->
        LedgerSnapshot.OpenEntry(
            holder = key.holder,
            reservation = key.reservation,
            request = request.request,
            budget = request.budget,
            reserved = request.reserved,
            entry = request.entry,
            deadline = request.deadline,
            attempt = request.attempt,
        )
    },
    writers = writers.map { LedgerSnapshot.ProcessValue(it.key, it.value) },
    gone = gone.map { LedgerSnapshot.GoneEntry(it.key, it.value) },
)

private fun SettledRequest.toEntry(request: RequestKey) = LedgerSnapshot.SettledEntry(request, outcome, charged, entry)

private fun AttemptRecord.toEntry(key: AttemptKey) = LedgerSnapshot.AttemptEntry(key, fingerprint, reservation, outcome)

private fun BudgetAccount.toEntry(budget: BudgetId) = LedgerSnapshot.BudgetEntry(
    budget = budget,
    customer = customer,
    keyDigests = keyDigests.toList(),
    topUpKeys = topUpKeys.toList(),
    prepaid = prepaid,
    spent = spent,
    remaining = remaining.map { LedgerSnapshot.ProcessValue(it.key, it.value) },
    demand = demand.map { LedgerSnapshot.ProcessValue(it.key, it.value) },
    pendingRequests = pendingRequests.map {
        LedgerSnapshot.PendingGrantRequestEntry(it.key, it.value.wanted, it.value.atLeast)
    },
    shortfall = shortfall,
)
