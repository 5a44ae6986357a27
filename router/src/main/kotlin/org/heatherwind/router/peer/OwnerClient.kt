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
import org.heatherwind.core.owner.ReserveAnswer
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.protocol.peer.HomeGrpcKt
import org.heatherwind.router.shard.ShardRunnerRegistry
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger("home-client")

/** A home's [answer], with the name under which it was asked. */
internal data class ReservationResult(val reservation: ReservationId, val answer: ReserveAnswer)

/** Reserves and settles at the home of a budget, and at the next in order when a home does not answer. */
internal class OwnerClient(
    private val shards: ShardRunnerRegistry,
    private val shardCount: Int,
    private val membership: Membership,
    private val connections: PeerConnections,
    private val abandoned: AbandonedReservations,
    private val clock: WallClock,
) {
    /** Reserves tokens for a request at the first home that answers; each home is asked under a name of its own. */
    suspend fun reserve(request: OwnerEvent.Reserve): ReservationResult {
        val shard = Rendezvous.shardOf(request.budget, shardCount)
        for ((index, owner) in membership.homesOf(shard).take(TRIED_HOMES).withIndex()) {
            val event = request.copy(reservation = ReservationId("${request.reservation}/$index"))
            val answer = if (membership.isSelf(owner.instance)) {
                shards.of(shard).reserve(event)
            } else {
                reserveRemotely(owner, shard, event)
            }
            if (answer != null && !isClosedHome(answer)) return ReservationResult(event.reservation, answer)
        }
        return ReservationResult(request.reservation, ReserveAnswer.Refused(ResultCode.HOME_UNREACHABLE))
    }

    /**
     * Settles a request at the holder that reserved for it, or at another home when that one is gone. While the log is
     * out, two homes besides this router take the settlement, so that the deaths of a home and of the entry do not lose
     * it; the fold drops the second.
     */
    suspend fun settle(event: OwnerEvent.Settle): SettlementSafety {
        val shard = Rendezvous.shardOf(event.budget, shardCount)
        var keepers = 0
        for (owner in settlementHomes(shard, event.holder)) {
            val isRecorded = if (membership.isSelf(owner.instance)) {
                shards.of(shard).settle(event)
            } else {
                settleRemotely(owner, shard, event)
            }
            if (isRecorded == true) return SettlementSafety.RECORDED
            if (isRecorded == false && !membership.isSelf(owner.instance)) keepers++
            if (isRecorded == false && keepers >= neededKeepers()) return SettlementSafety.KEPT
        }
        return SettlementSafety.AT_RISK
    }

    private fun neededKeepers(): Int = minOf(KEEPERS_IN_OUTAGE, membership.live.size - 1)

    private fun isClosedHome(answer: ReserveAnswer): Boolean = answer is ReserveAnswer.Refused &&
        (answer.code == ResultCode.ROUTER_DRAINING || answer.code == ResultCode.ROUTER_NOT_READY)

    private fun settlementHomes(shard: Int, holder: Incarnation?): List<ListedInstance> {
        val owners = membership.homesOf(shard)
        return (owners.filter { it.instance == holder?.instance } + owners).distinct().take(SETTLEMENT_HOMES)
    }

    private suspend fun reserveRemotely(owner: ListedInstance, shard: Int, event: OwnerEvent.Reserve): ReserveAnswer? {
        val wait = event.waitUntil.millisecondsSince(clock.now()).coerceAtLeast(1) + ANSWER_MARGIN_MILLISECONDS
        val answer = calling(owner, wait) { it.reserve(event.toMessage(shard)).toAnswer() }
        if (answer == null) abandoned.add(AbandonedReservation(owner, shard, releaseOf(event)))
        return answer
    }

    private suspend fun settleRemotely(owner: ListedInstance, shard: Int, event: OwnerEvent.Settle): Boolean? =
        calling(owner, SETTLE_MILLISECONDS) { it.settle(event.toMessage(shard)).recorded }

    private fun releaseOf(event: OwnerEvent.Reserve) = OwnerEvent.Settle(
        reservation = event.reservation,
        request = event.request,
        budget = event.budget,
        holder = null,
        charged = 0,
        outcome = SettlementOutcome.NOT_RUN,
        attemptEnd = event.claim?.let { AttemptEnd(it.attempt, AttemptOutcome.NotRun) },
    )

    private suspend fun <T> calling(
        owner: ListedInstance,
        milliseconds: Long,
        call: suspend (HomeGrpcKt.HomeCoroutineStub) -> T,
    ): T? = try {
        call(connections.at(owner.peerAddress).withDeadlineAfter(milliseconds, TimeUnit.MILLISECONDS))
    } catch (failure: StatusException) {
        if (failure.status.code != Status.Code.DEADLINE_EXCEEDED) {
            logger.debug { "home-client: ${owner.instance} does not answer: ${failure.status}" }
        }
        null
    }

    private companion object {
        const val TRIED_HOMES = 3
        const val SETTLEMENT_HOMES = 4
        const val KEEPERS_IN_OUTAGE = 2
        const val ANSWER_MARGIN_MILLISECONDS = 200L
        const val SETTLE_MILLISECONDS = 2_000L
    }
}
