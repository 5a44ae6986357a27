package org.heatherwind.router.shard

import kotlinx.coroutines.CompletableDeferred
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.ReserveResponse

/** A message to the coroutine that owns a shard's state. */
internal sealed interface ShardMessage {
    /** An initial state was loaded from the log or from a peer. */
    data class Loaded(val initial: InitialLedger) : ShardMessage

    /** An entry router requests a reservation and waits for [response]. */
    data class Reserve(val event: OwnerEvent.Reserve, val response: CompletableDeferred<ReserveResponse>) : ShardMessage

    /**
     * An entry router reports a settlement. [response] becomes true when the settlement is read back from the log, and
     * false when the log is unavailable and the settlement is still queued.
     */
    data class Settle(val event: OwnerEvent.Settle, val response: CompletableDeferred<Boolean>) : ShardMessage

    /** An event whose sender expects no response. */
    data class Notify(val event: OwnerEvent) : ShardMessage

    /** An append to the shard's stream failed. */
    data object AppendFailed : ShardMessage
}
