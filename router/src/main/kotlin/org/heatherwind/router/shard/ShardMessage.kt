package org.heatherwind.router.shard

import kotlinx.coroutines.CompletableDeferred
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.ReserveAnswer

/** What is sent to the coroutine that owns a shard's state. */
internal sealed interface ShardMessage {
    /** A state was loaded from the log or a peer. */
    data class Loaded(val initial: InitialLedger) : ShardMessage

    /** An entry waits for a reservation. */
    data class Reserving(val event: OwnerEvent.Reserve, val answer: CompletableDeferred<ReserveAnswer>) : ShardMessage

    /** An entry waits for its settlement to be kept. */
    data class Settling(val event: OwnerEvent.Settle, val answer: CompletableDeferred<Boolean>) : ShardMessage

    /** An event for which nobody waits. */
    data class Happened(val event: OwnerEvent) : ShardMessage

    /** An append failed. */
    data object AppendFailed : ShardMessage
}
