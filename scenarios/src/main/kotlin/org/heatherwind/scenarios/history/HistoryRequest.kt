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
import org.heatherwind.core.owner.ReserveAnswer
import org.heatherwind.core.result.ResultCode

/**
 * What a caller wants.
 *
 * @property worstTokens tokens to reserve
 * @property usedTokens tokens that the answer takes
 * @property claim names non-idempotent work, or null
 * @property runMilliseconds how long the target works
 */
public data class HistoryDemand(
    val key: RequestKey,
    val budget: BudgetId,
    val worstTokens: Long,
    val usedTokens: Long,
    val claim: AttemptClaim? = null,
    val runMilliseconds: Long = 300,
)

/** How a request ended for its caller. */
public sealed interface HistoryEnd {
    /** The whole answer was sent. */
    public data object Whole : HistoryEnd

    /** It was refused. */
    public data class Refused(val code: ResultCode) : HistoryEnd

    /** A recorded outcome was sent. */
    public data object Replayed : HistoryEnd

    /** The entry died, so the caller knows nothing. */
    public data object Cut : HistoryEnd
}

/** One arrival of a request at an entry router, as the router's entry handles it: reserve, run, settle, end. */
internal class HistoryRequest(
    private val fleet: HistoryFleet,
    private val entry: HistoryRouter,
    private val demand: HistoryDemand,
    private val onEnd: (HistoryEnd) -> Unit,
) {
    private val time = fleet.time
    private val waitUntil: Timestamp = time.now.plusMilliseconds(WAIT_MILLISECONDS)
    private var hasEnded = false

    /** Tokens that may be used by a run that is not settled, or 0. */
    var exposed: Long = 0
        private set

    fun start() = tryHome(fleet.homesFor(entry, demand.budget))

    /** The entry's death: the caller's connection ends. */
    fun cut() = end(HistoryEnd.Cut)

    private fun tryHome(homes: List<HistoryRouter>) {
        val reservation = ReservationId("${entry.incarnation}/${fleet.nextNumber()}")
        val home = homes.firstOrNull()
        if (home == null || time.now >= waitUntil) return end(HistoryEnd.Refused(ResultCode.HOME_UNREACHABLE))
        var isAnswered = false
        fleet.send(entry, home) {
            home.reserve(reserving(reservation)) { answer ->
                fleet.send(home, entry) {
                    if (!isAnswered) {
                        isAnswered = true
                        handle(answer, homes, reservation)
                    }
                }
            }
        }
        val patience = waitUntil.millisecondsSince(time.now) + MARGIN_MILLISECONDS
        time.after(if (fleet.isConnected(entry, home)) patience else REFUSED_MILLISECONDS) {
            entry.act {
                if (!isAnswered) {
                    isAnswered = true
                    abandon(home, reservation)
                    tryHome(homes.drop(1))
                }
            }
        }
    }

    private fun handle(answer: ReserveAnswer, homes: List<HistoryRouter>, reservation: ReservationId) {
        when (answer) {
            is ReserveAnswer.Reserved -> run(answer.holder, reservation)

            is ReserveAnswer.Recorded -> end(HistoryEnd.Replayed)

            is ReserveAnswer.Refused -> {
                val isClosed = answer.code == ResultCode.ROUTER_DRAINING || answer.code == ResultCode.ROUTER_NOT_READY
                if (isClosed) tryHome(homes.drop(1)) else end(HistoryEnd.Refused(answer.code))
            }
        }
    }

    private fun run(holder: Incarnation, reservation: ReservationId) {
        fleet.truth.ran(demand)
        exposed = demand.worstTokens
        time.after(demand.runMilliseconds) {
            entry.act {
                val outcome = AttemptOutcome.Answered(status = 200, body = "done")
                settle(settlement(holder, reservation, demand.usedTokens, SettlementOutcome.COMPLETED, outcome))
            }
        }
    }

    private fun settle(event: OwnerEvent.Settle) {
        val homes = fleet.settlementHomes(entry, event)
        var keepers = 0
        var recorded = false
        homes.forEach { home ->
            fleet.send(entry, home) {
                home.settle(event) { isRecorded ->
                    fleet.send(home, entry) {
                        if (home !== entry) keepers++
                        if (isRecorded && !recorded) {
                            recorded = true
                            exposed = 0
                            finish()
                        }
                    }
                }
            }
        }
        time.after(SETTLE_MILLISECONDS) {
            entry.act {
                if (!recorded) {
                    if (keepers >= KEEPERS) finish()
                    settle(event)
                }
            }
        }
    }

    private fun finish() {
        if (!hasEnded) fleet.truth.answered(demand)
        end(HistoryEnd.Whole)
    }

    private fun abandon(home: HistoryRouter, reservation: ReservationId) {
        val release = settlement(null, reservation, 0, SettlementOutcome.NOT_RUN, AttemptOutcome.NotRun)
        var isAnswered = false
        fleet.send(entry, home) {
            home.settle(release) { fleet.send(home, entry) { isAnswered = true } }
        }
        time.after(SETTLE_MILLISECONDS) {
            entry.act { if (!isAnswered) abandon(fleet.standInFor(home, demand), reservation) }
        }
    }

    private fun end(how: HistoryEnd) {
        if (hasEnded) return
        hasEnded = true
        if (how is HistoryEnd.Refused && how.code.isNotRun) fleet.truth.toldNotRun(demand, how.code)
        onEnd(how)
    }

    private fun reserving(reservation: ReservationId) = OwnerEvent.Reserve(
        reservation = reservation,
        request = demand.key,
        budget = demand.budget,
        keyDigest = KEY_DIGEST,
        tokens = demand.worstTokens,
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
        const val MARGIN_MILLISECONDS = 200L
        const val REFUSED_MILLISECONDS = 20L
        const val SETTLE_MILLISECONDS = 2_000L
        const val KEEPERS = 2
        const val DEADLINE_MILLISECONDS = 120_000L
    }
}
