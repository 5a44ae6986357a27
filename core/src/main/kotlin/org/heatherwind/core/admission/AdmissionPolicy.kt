package org.heatherwind.core.admission

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.work.WorkRequest

/** Decides whether a request is sent now, waits at the router, or is refused. */
public object AdmissionPolicy {
    /**
     * Decides at [now] about [work]. Lateness alone is no reason to refuse, since a late answer is better than none; a
     * request is refused if its caller will have left before the first event, or if waiting cannot help.
     */
    public fun decide(work: WorkRequest, prospect: Prospect, now: MonotonicTime): AdmissionDecision {
        val predicted = prospect.predictedMilliseconds
        val until = waitEnd(work, prospect.resumedAt)
        val overloadedUntil = prospect.overloadedUntil
        return when {
            predicted == null -> decideWithoutTarget(work, prospect, until, now)

            // The target is asked once more when its rejection is over, or when the request can't wait for that.
            overloadedUntil != null && now < minOf(until, overloadedUntil) ->
                AdmissionDecision.Wait(maxOf(until, overloadedUntil))

            prospect.hasFreePlace || prospect.resumedAt != null -> AdmissionDecision.Send

            !isLost(work, predicted, now) -> AdmissionDecision.Send

            else -> refusal(work, prospect, now)
        }
    }

    /** Returns when the caller of [work] leaves if nothing of the answer has arrived by then. */
    public fun patienceEnd(work: WorkRequest): MonotonicTime {
        val route = work.route
        if (!route.isStream) return work.deadline
        val patienceMilliseconds = maxOf(
            MINIMUM_PATIENCE_MILLISECONDS,
            PATIENCE_OBJECTIVES * route.latencyObjectiveMilliseconds,
            PATIENCE_PAUSES * (route.pauseObjectiveMilliseconds ?: 0),
        )
        return minOf(work.deadline, work.receivedAt.plusMilliseconds(patienceMilliseconds))
    }

    /** Returns whether the first event comes too late even if it comes in a small part of the predicted time. */
    private fun isLost(work: WorkRequest, predictedMilliseconds: Double, now: MonotonicTime): Boolean =
        predictedMilliseconds / PREDICTION_ERROR > patienceEnd(work).millisecondsSince(now)

    private fun decideWithoutTarget(
        work: WorkRequest,
        prospect: Prospect,
        until: MonotonicTime,
        now: MonotonicTime,
    ): AdmissionDecision {
        val opensInTime = prospect.opensAt.let { it == null || it < until }
        return if (prospect.canOpen && opensInTime && now < until) {
            AdmissionDecision.Wait(until)
        } else {
            refusal(work, prospect, now)
        }
    }

    /**
     * Returns until when [work] may wait; the rest of the objective is left to the target or to another router. The
     * wait counts from [resumedAt] if a part of the answer was forwarded, since callers leave after a gap.
     */
    public fun waitEnd(work: WorkRequest, resumedAt: MonotonicTime? = null): MonotonicTime = minOf(
        (resumedAt ?: work.receivedAt).plusMilliseconds(work.route.latencyObjectiveMilliseconds / WAIT_DIVISOR),
        if (resumedAt == null) patienceEnd(work) else work.deadline,
    )

    private fun refusal(work: WorkRequest, prospect: Prospect, now: MonotonicTime) = AdmissionDecision.Refuse(
        RetryAfterPolicy.milliseconds(work, prospect.roomMilliseconds, prospect.opensAt, now),
    )

    /** Callers of streams leave after two seconds, four objectives, or eight of the pauses that meet the objective. */
    private const val MINIMUM_PATIENCE_MILLISECONDS = 2_000L
    private const val PATIENCE_OBJECTIVES = 4L
    private const val PATIENCE_PAUSES = 8L

    /** Predictions are often wrong by up to this factor. */
    private const val PREDICTION_ERROR = 2.0

    /** A request may wait for half of its objective. */
    private const val WAIT_DIVISOR = 2L
}
