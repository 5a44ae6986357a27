package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.LedgerRecord
import org.heatherwind.core.result.ResultCode

/** What a home wants done. */
public sealed interface OwnerEffect {
    /** Append [record] to the shard's stream, after all earlier ones. */
    public data class Append(val record: LedgerRecord) : OwnerEffect

    /** Answer [reservation]. */
    public data class AnswerReserve(val reservation: ReservationId, val answer: ReserveAnswer) : OwnerEffect

    /** Tell the entry of [reservation] that its settlement is in the log. */
    public data class AnswerSettle(val reservation: ReservationId) : OwnerEffect
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
public data class OwnerDecision(val state: OwnerState, val effects: List<OwnerEffect>)
