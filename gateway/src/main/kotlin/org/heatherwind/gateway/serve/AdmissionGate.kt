package org.heatherwind.gateway.serve

import org.heatherwind.core.admission.AdmissionDecision
import org.heatherwind.core.admission.AdmissionPolicy
import org.heatherwind.core.admission.Prospect
import org.heatherwind.core.admission.RetryAfterPolicy
import org.heatherwind.core.admission.WaitingRequest
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.work.WorkRequest

/** Holds one request back until it may be sent to a target of [service], or refuses it. */
internal class AdmissionGate(
    private val context: ServeContext,
    private val work: WorkRequest,
    private val service: ServiceId,
) {
    private val room = context.rooms.of(service)
    private var waiting: WaitingRequest? = null
    private var isWaitOver = false

    /**
     * Returns the target that [choose] finds, after a wait if there is none at present, or null if the request is refused.
     *
     * @param tried targets to which the request was sent before
     */
    suspend fun awaitPlacement(tried: Set<TargetId>, choose: () -> Placement?): Placement? {
        try {
            while (true) {
                val placement = choose()
                val prospect = prospectOf(placement, tried)
                val decision = decide(prospect)
                if (decision != AdmissionDecision.Send) log(decision, prospect)
                when (decision) {
                    AdmissionDecision.Send -> return placement.also { recordPlaced() }
                    is AdmissionDecision.Wait -> wait(decision.until, prospect)
                    is AdmissionDecision.Refuse -> return null.also { recordRefused(prospect) }
                }
            }
        } finally {
            waiting?.let { room.leave(it) }
            waiting = null
        }
    }

    /** Returns when the caller of the request, which is refused now, is to come back. */
    fun retryAfterMilliseconds(): Long {
        val now = context.clock.now()
        val targets = context.rollouts.targetsOf(service)
        context.refusals.record(work, now)
        return RetryAfterPolicy.milliseconds(
            work,
            room.estimate.millisecondsUntilRoom(targets, now),
            opensAt(targets),
            now,
        )
    }

    private fun decide(prospect: Prospect): AdmissionDecision {
        val now = context.clock.now()
        val decision = AdmissionPolicy.decide(work, prospect, now)
        val waitEnd = AdmissionPolicy.waitEnd(work)
        // Those that wait already go first, in their order.
        val isBehindOthers = waiting == null && !isWaitOver && room.size > 0 && now < waitEnd
        return if (decision == AdmissionDecision.Send && isBehindOthers) AdmissionDecision.Wait(waitEnd) else decision
    }

    private fun prospectOf(placement: Placement?, tried: Set<TargetId>): Prospect {
        val now = context.clock.now()
        val targets = context.rollouts.targetsOf(service)
        // After its wait a request is offered to a target that was full, which may have a place by now.
        val target = placement?.target
        val overloadedUntil = target?.overloadedUntil?.takeIf { !isWaitOver && now < it }
        return Prospect(
            predictedMilliseconds = placement?.predictedMilliseconds.takeIf { overloadedUntil == null },
            hasFreePlace = target != null && hasFreePlace(target, now),
            opensAt = overloadedUntil ?: opensAt(targets),
            canOpen = !isWaitOver && targets.any { it.entry.id !in tried && !it.availability.isLeaving },
            roomMilliseconds = room.estimate.millisecondsUntilRoom(targets, now),
        )
    }

    private fun hasFreePlace(target: TargetLoad, now: MonotonicTime): Boolean = target.waitingRequests(now) == 0.0 &&
        target.inFlightRequests + target.externalRequests(now) < target.entry.slots

    /** Returns when the first of [targets] opens, or null if some have not asked for a pause, or if all leave. */
    private fun opensAt(targets: List<TargetLoad>): MonotonicTime? {
        val now = context.clock.now()
        val staying = targets.map { it.availability }.filterNot { it.isLeaving }
        return if (staying.any { it.isOpen(now) }) null else staying.minOfOrNull { it.closedUntil }
    }

    private suspend fun wait(until: MonotonicTime, prospect: Prospect) {
        val now = context.clock.now()
        val request = waiting ?: WaitingRequest(
            rank = work.rank,
            customer = work.customer?.id,
            until = until,
            arrivedAt = work.receivedAt,
            wasRefused = context.refusals.contains(work, now),
        ).also { waiting = it }
        isWaitOver = !room.await(request, isTargetOpen = prospect.predictedMilliseconds != null)
        context.metrics.observeWait(service.value, context.clock.now().millisecondsSince(now))
    }

    private fun recordPlaced() {
        waiting?.let {
            room.recordPlaced(it)
            room.callNext()
        }
    }

    private fun recordRefused(prospect: Prospect) {
        val reason = when {
            prospect.predictedMilliseconds != null -> "lost"
            isWaitOver -> "waited"
            else -> "closed"
        }
        context.metrics.countRefused(service.value, reason)
    }

    private fun log(decision: AdmissionDecision, prospect: Prospect): Unit = context.log.request(
        work.id,
        "Decided on admission.",
        "decision" to decision,
        "rank" to work.rank,
        "predictedMilliseconds" to prospect.predictedMilliseconds?.toLong(),
        "opensInMilliseconds" to prospect.opensAt?.millisecondsSince(context.clock.now()),
        "roomMilliseconds" to prospect.roomMilliseconds,
        "waiting" to room.size,
        "leftMilliseconds" to work.deadline.millisecondsSince(context.clock.now()),
        "ageMilliseconds" to context.clock.now().millisecondsSince(work.receivedAt),
    )
}
