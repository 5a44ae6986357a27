package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.LedgerRecord
import org.heatherwind.core.result.ResultCode

/** Action that the caller of [ShardOwner.decide] must carry out. */
public sealed interface OwnerEffect {
    /** Appends [record] to the shard's stream, after all earlier ones. */
    public data class Append(val record: LedgerRecord) : OwnerEffect

    /** Sends [response] to the entry router of [reservation]. */
    public data class RespondToReserve(val reservation: ReservationId, val response: ReserveResponse) : OwnerEffect

    /** Notifies the entry router of [reservation] that its settlement is in the log. */
    public data class ConfirmSettlement(val reservation: ReservationId) : OwnerEffect
}

/** Response to a request to reserve tokens. */
public sealed interface ReserveResponse {
    /** The tokens are reserved under the grant of [holder], and the request may run. */
    public data class Reserved(val holder: Incarnation) : ReserveResponse

    /** The request must not run; [code] is the reason. */
    public data class Refused(val code: ResultCode) : ReserveResponse

    /** The work already ran; its recorded [outcome] is sent instead of running it again. */
    public data class Recorded(val outcome: AttemptOutcome) : ReserveResponse
}

/** State after an event and the effects to carry out, in order. */
public data class OwnerDecision(val state: OwnerState, val effects: List<OwnerEffect>)
