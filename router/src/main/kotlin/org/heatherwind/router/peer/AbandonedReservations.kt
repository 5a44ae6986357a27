package org.heatherwind.router.peer

import io.grpc.StatusException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.heatherwind.clients.instances.ListedInstance
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.router.shard.ShardRunnerRegistry
import java.util.concurrent.TimeUnit

/** A reservation that a home may have made and whose answer never came; [release] undoes it. */
internal class AbandonedReservation(val owner: ListedInstance, val shard: Int, val release: OwnerEvent.Settle)

/**
 * Tells homes, until they answer or are gone, that a reservation of theirs was never used. Without it a home would
 * count the tokens as reserved, although the caller was told that the request did not run.
 */
internal class AbandonedReservations(
    private val shards: ShardRunnerRegistry,
    private val membership: Membership,
    private val connections: PeerConnections,
) {
    private val queue = Channel<AbandonedReservation>(Channel.UNLIMITED)

    fun add(reservation: AbandonedReservation) {
        queue.trySend(reservation)
    }

    /** Releases reservations until cancelled; in place of a home that is gone, the present first home is told. */
    suspend fun run() {
        for (reservation in queue) {
            val isListed = membership.instances.any { it.instance == reservation.owner.instance }
            val owner = if (isListed) reservation.owner else membership.homesOf(reservation.shard).first()
            if (release(owner, reservation)) continue
            delay(RETRY_DELAY_MILLISECONDS)
            add(reservation)
        }
    }

    private suspend fun release(owner: ListedInstance, reservation: AbandonedReservation): Boolean {
        if (!membership.isSelf(owner.instance)) return releaseRemotely(owner, reservation)
        shards.of(reservation.shard).send(reservation.release)
        return true
    }

    private suspend fun releaseRemotely(owner: ListedInstance, reservation: AbandonedReservation): Boolean = try {
        connections.at(owner.peerAddress)
            .withDeadlineAfter(CALL_MILLISECONDS, TimeUnit.MILLISECONDS)
            .settle(reservation.release.toMessage(reservation.shard))
        true
    } catch (_: StatusException) {
        false
    }

    private companion object {
        const val RETRY_DELAY_MILLISECONDS = 200L
        const val CALL_MILLISECONDS = 1_000L
    }
}
