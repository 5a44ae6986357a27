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
import org.heatherwind.core.work.WorkRequest

/** Holds one request back until it may be sent to a target of [service], or refuses it. */
internal class AdmissionGate(
    private val context: ServeContext,
    private val work: WorkRequest,
    private val service: ServiceId,
    private val progress: DeliveryProgress,
) {
    private val room = context.rooms.of(service)
    private var waiting: WaitingRequest? = null
    private var lastWait: WaitResult? = null

    /** When the search for another target began, if a part of the answer was forwarded. */
    private var resumedAt: MonotonicTime? = null

    /**
     * Returns the target that [choose] finds, after a wait if there is none at present, or null if the request is
     * refused.
     *
     * @param tried targets to which the request was sent before
     */
    suspend fun awaitPlacement(tried: Set<TargetId>, choose: () -> Placement?): Placement? {
        resumedAt = context.clock.now().takeIf { progress.callerResponse.hasStarted }
        lastWait = null
        try {
            while (lastWait != WaitResult.EVICTED) {
                val placement = choose()
                val prospect = prospectOf(placement, tried)
                val decision = decide(prospect)
                val isFirstWait = waiting == null
                if (decision != AdmissionDecision.Send && (isFirstWait || decision !is AdmissionDecision.Wait)) {
                    log(decision, prospect)
                }
                when (decision) {
                    AdmissionDecision.Send -> return placement.also { recordPlaced() }
                    is AdmissionDecision.Wait -> wait(decision.until, prospect, isRestricted = tried.isNotEmpty())
                    is AdmissionDecision.Refuse -> return null.also { recordRefused(prospect) }
                }
            }
            context.metrics.countRefused(service.value, "evicted")
            return null
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
            Prospect.opensAt(targets, now),
            now,
        )
    }

    private fun decide(prospect: Prospect): AdmissionDecision {
        val now = context.clock.now()
        val decision = AdmissionPolicy.decide(work, prospect, now)
        val waitEnd = AdmissionPolicy.waitEnd(work, resumedAt)
        // Those that wait already go first, in their order.
        val isBehindOthers = waiting == null && lastWait == null && resumedAt == null && room.size > 0 && now < waitEnd
        return if (decision == AdmissionDecision.Send && isBehindOthers) AdmissionDecision.Wait(waitEnd) else decision
    }

    private fun prospectOf(placement: Placement?, tried: Set<TargetId>): Prospect {
        val now = context.clock.now()
        val targets = context.rollouts.targetsOf(service)
        val roomMilliseconds = room.estimate.millisecondsUntilRoom(targets, now)
        return Prospect.of(placement, targets, tried, roomMilliseconds, now, resumedAt)
    }

    private suspend fun wait(until: MonotonicTime, prospect: Prospect, isRestricted: Boolean) {
        val now = context.clock.now()
        val request = waiting ?: WaitingRequest(
            // A caller that has received a part of the answer leaves after a gap.
            rank = if (resumedAt == null) work.rank else Int.MIN_VALUE,
            customer = work.customer?.id,
            until = until,
            arrivedAt = work.receivedAt,
            wasRefused = context.refusals.contains(work, now),
            isRestricted = isRestricted,
        ).also { waiting = it }
        val isTargetOpen = prospect.predictedMilliseconds != null && prospect.overloadedUntil == null
        lastWait = room.await(request, isTargetOpen, until)
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
            lastWait == WaitResult.TIME_OVER -> "waited"
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
