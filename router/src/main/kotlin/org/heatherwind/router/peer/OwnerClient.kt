package org.heatherwind.router.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Status
import io.grpc.StatusException
import org.heatherwind.clients.instances.ListedInstance
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.ledger.AttemptOutcome
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.owner.AttemptEnd
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.ReserveResponse
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.protocol.peer.HomeGrpcKt
import org.heatherwind.router.shard.ShardRunnerRegistry
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger("home-client")

/** A shard owner's [response] to the request for the reservation with the ID [reservation]. */
internal data class ReservationResult(val reservation: ReservationId, val response: ReserveResponse)

/** Reserves and settles at the shard owner of a budget, and at the next owner in order when one does not respond. */
internal class OwnerClient(
    private val shards: ShardRunnerRegistry,
    private val shardCount: Int,
    private val membership: Membership,
    private val connections: PeerConnections,
    private val abandonedReservations: AbandonedReservationReleaser,
    private val clock: WallClock,
) {
    /**
     * Reserves tokens for a request at the first owner that responds. Each attempt uses its own reservation ID, so
     * that an attempt whose outcome is unknown can be released separately.
     */
    suspend fun reserve(request: OwnerEvent.Reserve): ReservationResult {
        val shard = Rendezvous.shardOf(request.budget, shardCount)
        for ((index, owner) in membership.ownersOf(shard).take(MAXIMUM_RESERVE_OWNERS).withIndex()) {
            val event = request.copy(reservation = ReservationId("${request.reservation}/$index"))
            val response = if (membership.isSelf(owner.instance)) {
                shards.getOrStart(shard).reserve(event)
            } else {
                reserveRemotely(owner, shard, event)
            }
            if (response != null && !isNotServing(response)) return ReservationResult(event.reservation, response)
        }
        return ReservationResult(request.reservation, ReserveResponse.Refused(ResultCode.HOME_UNREACHABLE))
    }

    /**
     * Settles a request at the holder of its reservation, or at another owner if the holder does not respond. While the
     * log is unavailable, two routers besides this one must queue the settlement (fewer in a smaller fleet), so that it
     * survives the loss of one owner and of the entry router. Of several copies in the log, the ledger applies only
     * the first.
     */
    suspend fun settle(event: OwnerEvent.Settle): SettlementDurability {
        val shard = Rendezvous.shardOf(event.budget, shardCount)
        var remoteCopies = 0
        for (owner in settlementOwners(shard, event.holder)) {
            val isRecorded = if (membership.isSelf(owner.instance)) {
                shards.getOrStart(shard).settle(event)
            } else {
                settleRemotely(owner, shard, event)
            }
            if (isRecorded == true) return SettlementDurability.RECORDED
            if (isRecorded == false && !membership.isSelf(owner.instance)) remoteCopies++
            if (isRecorded == false && remoteCopies >= requiredRemoteCopies()) return SettlementDurability.KEPT
        }
        return SettlementDurability.AT_RISK
    }

    private fun requiredRemoteCopies(): Int = minOf(REMOTE_COPIES_WITHOUT_LOG, membership.live.size - 1)

    private fun isNotServing(response: ReserveResponse): Boolean = response is ReserveResponse.Refused &&
        (response.code == ResultCode.ROUTER_DRAINING || response.code == ResultCode.ROUTER_NOT_READY)

    private fun settlementOwners(shard: Int, holder: Incarnation?): List<ListedInstance> {
        val owners = membership.ownersOf(shard)
        return (owners.filter { it.instance == holder?.instance } + owners).distinct().take(MAXIMUM_SETTLE_OWNERS)
    }

    private suspend fun reserveRemotely(
        owner: ListedInstance,
        shard: Int,
        event: OwnerEvent.Reserve,
    ): ReserveResponse? {
        val timeoutMilliseconds =
            event.waitUntil.millisecondsSince(clock.now()).coerceAtLeast(1) + RESPONSE_MARGIN_MILLISECONDS
        val response = callOwner(owner, timeoutMilliseconds) { it.reserve(event.toMessage(shard)).toReserveResponse() }
        if (response == null) abandonedReservations.add(AbandonedReservation(owner, shard, releaseEvent(event)))
        return response
    }

    private suspend fun settleRemotely(owner: ListedInstance, shard: Int, event: OwnerEvent.Settle): Boolean? =
        callOwner(owner, SETTLE_TIMEOUT_MILLISECONDS) { it.settle(event.toMessage(shard)).recorded }

    private fun releaseEvent(event: OwnerEvent.Reserve) = OwnerEvent.Settle(
        reservation = event.reservation,
        request = event.request,
        budget = event.budget,
        holder = null,
        charged = 0,
        outcome = SettlementOutcome.NOT_RUN,
        attemptEnd = event.claim?.let { AttemptEnd(it.attempt, AttemptOutcome.NotRun) },
    )

    private suspend fun <T> callOwner(
        owner: ListedInstance,
        timeoutMilliseconds: Long,
        call: suspend (HomeGrpcKt.HomeCoroutineStub) -> T,
    ): T? = try {
        call(connections.stubFor(owner.peerAddress).withDeadlineAfter(timeoutMilliseconds, TimeUnit.MILLISECONDS))
    } catch (failure: StatusException) {
        if (failure.status.code != Status.Code.DEADLINE_EXCEEDED) {
            logger.debug { "home-client: call to shard owner ${owner.instance} failed: ${failure.status}" }
        }
        null
    }

    private companion object {
        const val MAXIMUM_RESERVE_OWNERS = 3
        const val MAXIMUM_SETTLE_OWNERS = 4
        const val REMOTE_COPIES_WITHOUT_LOG = 2
        const val RESPONSE_MARGIN_MILLISECONDS = 200L
        const val SETTLE_TIMEOUT_MILLISECONDS = 2_000L
    }
}
