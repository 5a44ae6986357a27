package org.heatherwind.scenarios.history

import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.owner.AttemptClaim
import org.heatherwind.core.owner.AttemptEnd
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.ReserveResponse
import org.heatherwind.core.result.ResultCode

/**
 * A simulated request and the tokens that it uses when it runs.
 *
 * @property worstCaseTokens tokens to reserve, the most that the request can use
 * @property usedTokens tokens charged when the request completes
 * @property claim identifies non-idempotent work that may run only once; null for idempotent work
 * @property processingMilliseconds processing time at the target
 */
public data class HistoryDemand(
    val key: RequestKey,
    val budget: BudgetId,
    val worstCaseTokens: Long,
    val usedTokens: Long,
    val claim: AttemptClaim? = null,
    val processingMilliseconds: Long = 300,
)

/** How a request ended for its caller. */
public sealed interface HistoryOutcome {
    /** The complete response was sent. */
    public data object Completed : HistoryOutcome

    /** The request was refused with [code]. */
    public data class Refused(val code: ResultCode) : HistoryOutcome

    /** The recorded outcome of an earlier attempt was sent. */
    public data object Replayed : HistoryOutcome

    /** The entry router died; the outcome is unknown to the caller. */
    public data object ConnectionLost : HistoryOutcome
}

/** Simulates one request at its entry router: reservation at a shard owner, run, settlement and response. */
internal class HistoryRequest(
    private val fleet: HistoryFleet,
    private val entry: HistoryRouter,
    private val demand: HistoryDemand,
    private val onEnd: (HistoryOutcome) -> Unit,
) {
    private val time = fleet.time
    private val waitUntil: Timestamp = time.now.plusMilliseconds(WAIT_MILLISECONDS)
    private var hasEnded = false

    /** Reserved tokens of a run whose settlement is not yet in the log; otherwise 0. */
    var unsettledTokens: Long = 0
        private set

    fun start() = tryNextOwner(fleet.ownersFor(entry, demand.budget))

    /** Ends the caller's connection because the entry router died. */
    fun disconnect() = end(HistoryOutcome.ConnectionLost)

    private fun tryNextOwner(owners: List<HistoryRouter>) {
        val reservation = ReservationId("${entry.incarnation}/${fleet.nextReservationNumber()}")
        val owner = owners.firstOrNull()
        if (owner == null || time.now >= waitUntil) return end(HistoryOutcome.Refused(ResultCode.HOME_UNREACHABLE))
        var hasResponse = false
        fleet.send(entry, owner) {
            owner.reserve(reserveEvent(reservation)) { response ->
                fleet.send(owner, entry) {
                    if (!hasResponse) {
                        hasResponse = true
                        handle(response, owners, reservation)
                    }
                }
            }
        }
        val responseTimeoutMilliseconds = waitUntil.millisecondsSince(time.now) + RESPONSE_MARGIN_MILLISECONDS
        time.after(
            if (fleet.isConnected(entry, owner)) responseTimeoutMilliseconds else CONNECTION_REFUSED_MILLISECONDS,
        ) {
            entry.execute {
                if (!hasResponse) {
                    hasResponse = true
                    releaseReservation(owner, reservation)
                    tryNextOwner(owners.drop(1))
                }
            }
        }
    }

    private fun handle(response: ReserveResponse, owners: List<HistoryRouter>, reservation: ReservationId) {
        when (response) {
            is ReserveResponse.Reserved -> run(response.holder, reservation)

            is ReserveResponse.Recorded -> end(HistoryOutcome.Replayed)

            is ReserveResponse.Refused -> {
                val isNotAccepting =
                    response.code == ResultCode.ROUTER_DRAINING || response.code == ResultCode.ROUTER_NOT_READY
                if (isNotAccepting) tryNextOwner(owners.drop(1)) else end(HistoryOutcome.Refused(response.code))
            }
        }
    }

    private fun run(holder: Incarnation, reservation: ReservationId) {
        fleet.oracle.recordRun(demand)
        unsettledTokens = demand.worstCaseTokens
        time.after(demand.processingMilliseconds) {
            entry.execute {
                val outcome = AttemptOutcome.Answered(status = 200, body = "done")
                settle(settlement(holder, reservation, demand.usedTokens, SettlementOutcome.COMPLETED, outcome))
            }
        }
    }

    private fun settle(event: OwnerEvent.Settle) {
        val owners = fleet.settlementOwners(entry, event)
        var storedCopies = 0
        var isSettled = false
        owners.forEach { owner ->
            fleet.send(entry, owner) {
                owner.settle(event) { isRecorded ->
                    fleet.send(owner, entry) {
                        if (owner !== entry) storedCopies++
                        if (isRecorded && !isSettled) {
                            isSettled = true
                            unsettledTokens = 0
                            finish()
                        }
                    }
                }
            }
        }
        time.after(SETTLEMENT_RETRY_MILLISECONDS) {
            entry.execute {
                if (!isSettled) {
                    if (storedCopies >= REQUIRED_SETTLEMENT_COPIES) finish()
                    settle(event)
                }
            }
        }
    }

    private fun finish() {
        if (!hasEnded) fleet.oracle.recordResponse(demand)
        end(HistoryOutcome.Completed)
    }

    private fun releaseReservation(owner: HistoryRouter, reservation: ReservationId) {
        val release = settlement(null, reservation, 0, SettlementOutcome.NOT_RUN, AttemptOutcome.NotRun)
        var hasResponse = false
        fleet.send(entry, owner) {
            owner.settle(release) { fleet.send(owner, entry) { hasResponse = true } }
        }
        time.after(SETTLEMENT_RETRY_MILLISECONDS) {
            entry.execute { if (!hasResponse) releaseReservation(fleet.currentOwnerFor(owner, demand), reservation) }
        }
    }

    private fun end(outcome: HistoryOutcome) {
        if (hasEnded) return
        hasEnded = true
        if (outcome is HistoryOutcome.Refused && outcome.code.isNotRun) fleet.oracle.recordRefusal(demand, outcome.code)
        onEnd(outcome)
    }

    private fun reserveEvent(reservation: ReservationId) = OwnerEvent.Reserve(
        reservation = reservation,
        request = demand.key,
        budget = demand.budget,
        keyDigest = KEY_DIGEST,
        tokens = demand.worstCaseTokens,
        entry = entry.incarnation,
        waitUntil = waitUntil,
        deadline = time.now.plusMilliseconds(DEADLINE_MILLISECONDS),
        claim = demand.claim,
    )

    private fun settlement(
        holder: Incarnation?,
        reservation: ReservationId,
        charged: Long,
        outcome: SettlementOutcome,
        end: AttemptOutcome,
    ) = OwnerEvent.Settle(
        reservation = reservation,
        request = demand.key,
        budget = demand.budget,
        holder = holder,
        charged = charged,
        outcome = outcome,
        attemptEnd = demand.claim?.let { AttemptEnd(it.attempt, end) },
    )

    companion object {
        val KEY_DIGEST = Digest("key")
        const val WAIT_MILLISECONDS = 2_000L
        const val RESPONSE_MARGIN_MILLISECONDS = 200L
        const val CONNECTION_REFUSED_MILLISECONDS = 20L
        const val SETTLEMENT_RETRY_MILLISECONDS = 2_000L
        const val REQUIRED_SETTLEMENT_COPIES = 2
        const val DEADLINE_MILLISECONDS = 120_000L
    }
}
