package org.heatherwind.gateway.serve

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.target.TargetAvailability
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.protocol.TargetResponseHead
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import kotlin.random.Random

/** Takes into account what targets state in their answers about further requests. */
internal class TargetNotices(
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val random: Random = Random.Default,
) {
    private var invalidLoadLoggedUntil = MonotonicTime.distantPast

    /** Records the notices in [head], the head of an answer of [target] to a request that was sent to it. */
    fun record(target: TargetLoad, head: TargetResponseHead) {
        // An answer of another target, or one that no target has signed, must not take this one out of use.
        val isOfTarget = !head.isMisdirected && (head.isSigned || head.isNotRun)
        if (!isOfTarget) return
        if (head.hasInvalidLoad) recordInvalidLoad(target, head)
        if (head.isLeaving && !target.availability.isLeaving) recordLeaving(target, head)
        if (head.status == UNAVAILABLE) head.retryAfterSeconds?.let { recordPause(target, it) }
        head.coldMilliseconds?.let { recordCold(target, it) }
        recordBrittle(target, head.brittleRefusals)
    }

    private fun recordBrittle(target: TargetLoad, refusals: Long?) {
        val isValid = refusals == null || refusals >= 0
        if (!isValid || !target.brittleness.recordStated(refusals)) return
        log.stateChange(
            SUBJECT,
            if (refusals != null) "A target states that it is brittle." else "A target is brittle no longer.",
            "target" to target.entry.id.value,
            "bearableRefusals" to refusals,
        )
    }

    private fun recordCold(target: TargetLoad, milliseconds: Long) {
        val isValid = milliseconds in TargetEntry.COLD_MILLISECONDS
        if (isValid) return target.coldStatements.record(milliseconds, clock.now())
        log.stateChange(
            SUBJECT,
            "Ignored an invalid cold time of a target.",
            "target" to target.entry.id.value,
            "milliseconds" to milliseconds,
        )
    }

    private fun recordInvalidLoad(target: TargetLoad, head: TargetResponseHead) {
        metrics.countInvalidLoad(target.entry.service.value)
        val now = clock.now()
        if (now < invalidLoadLoggedUntil) return
        invalidLoadLoggedUntil = now.plusMilliseconds(INVALID_LOAD_LOG_MILLISECONDS)
        log.stateChange(
            SUBJECT,
            "Ignored invalid figures in a target's load report.",
            "target" to target.entry.id.value,
            "usedFigures" to head.load,
        )
    }

    private fun recordLeaving(target: TargetLoad, head: TargetResponseHead) {
        target.availability = target.availability.withLeaving()
        metrics.countClosedTarget(target.entry.service.value, "leaving")
        log.stateChange(
            SUBJECT,
            "A target announced that it leaves.",
            "target" to target.entry.id.value,
            "startedAt" to target.entry.startedAtEpochMilliseconds,
            "status" to head.status,
        )
    }

    private fun recordPause(target: TargetLoad, seconds: Double) {
        val now = clock.now()
        val milliseconds = TargetAvailability.pauseMilliseconds(seconds)
        if (milliseconds != null) {
            target.availability = target.availability.withPause(milliseconds, random.nextDouble(), now)
            metrics.countClosedTarget(target.entry.service.value, "pause")
        }
        log.stateChange(
            SUBJECT,
            if (milliseconds != null) "A target asked for a pause." else "Ignored an invalid pause of a target.",
            "target" to target.entry.id.value,
            "seconds" to seconds,
            "closedMilliseconds" to target.availability.closedUntil.millisecondsSince(now).coerceAtLeast(0),
        )
    }

    private companion object {
        const val SUBJECT = "targets"
        const val UNAVAILABLE = 503

        /** A target that states nonsense does so in each answer; a line a second names it. */
        const val INVALID_LOAD_LOG_MILLISECONDS = 1_000L
    }
}
