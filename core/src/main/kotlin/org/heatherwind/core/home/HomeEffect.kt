package org.heatherwind.core.home

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.LedgerRecord
import org.heatherwind.core.result.ResultCode

/** What a home wants done. */
public sealed interface HomeEffect {
    /** Append [record] to the shard's stream, after all earlier ones. */
    public data class Append(val record: LedgerRecord) : HomeEffect

    /** Answer [reservation]. */
    public data class AnswerReserve(val reservation: ReservationId, val answer: ReserveAnswer) : HomeEffect

    /** Tell the entry of [reservation] that its settlement is in the log. */
    public data class AnswerSettle(val reservation: ReservationId) : HomeEffect
}

/** The answer to a reservation. */
public sealed interface ReserveAnswer {
    /** The tokens are reserved under the grant of [holder]; the request may run. */
    public data class Reserved(val holder: Incarnation) : ReserveAnswer

    /** The request must not run, for the reason of [code]. */
    public data class Refused(val code: ResultCode) : ReserveAnswer

    /** The work was done before; its [outcome] is sent in place of running it. */
    public data class Recorded(val outcome: AttemptOutcome) : ReserveAnswer
}

/** The state after an event, with what is to be done. */
public data class HomeDecision(val state: HomeState, val effects: List<HomeEffect>)
