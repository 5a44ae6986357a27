package org.heatherwind.router.peer

import io.grpc.StatusException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.heatherwind.clients.instances.ListedInstance
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.router.shard.ShardRunnerRegistry
import java.util.concurrent.TimeUnit

/** A reservation that [owner] may have made although no response arrived; the settlement [releaseEvent] releases it. */
internal class AbandonedReservation(val owner: ListedInstance, val shard: Int, val releaseEvent: OwnerEvent.Settle)

/**
 * Releases reservations whose outcome is unknown. Each release is retried until a shard owner responds. Otherwise
 * the owner would keep the tokens reserved, although the response to the caller said that the request did not run.
 */
internal class AbandonedReservationReleaser(
    private val shards: ShardRunnerRegistry,
    private val membership: Membership,
    private val connections: PeerConnections,
) {
    private val queue = Channel<AbandonedReservation>(Channel.UNLIMITED)

    /** Queues [reservation] for release; never blocks. */
    fun add(reservation: AbandonedReservation) {
        queue.trySend(reservation)
    }

    /**
     * Releases queued reservations until cancelled. If an owner is no longer on the instance list, the release goes to
     * the current first owner of the shard.
     */
    suspend fun run() {
        for (reservation in queue) {
            val isListed = membership.instances.any { it.instance == reservation.owner.instance }
            val owner = if (isListed) reservation.owner else membership.ownersOf(reservation.shard).first()
            if (release(owner, reservation)) continue
            delay(RETRY_DELAY_MILLISECONDS)
            add(reservation)
        }
    }

    private suspend fun release(owner: ListedInstance, reservation: AbandonedReservation): Boolean {
        if (!membership.isSelf(owner.instance)) return releaseRemotely(owner, reservation)
        shards.getOrStart(reservation.shard).send(reservation.releaseEvent)
        return true
    }

    private suspend fun releaseRemotely(owner: ListedInstance, reservation: AbandonedReservation): Boolean = try {
        connections.stubFor(owner.peerAddress)
            .withDeadlineAfter(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
            .settle(reservation.releaseEvent.toMessage(reservation.shard))
        true
    } catch (_: StatusException) {
        false
    }

    private companion object {
        const val RETRY_DELAY_MILLISECONDS = 200L
        const val CALL_TIMEOUT_MILLISECONDS = 1_000L
    }
}
