package org.heatherwind.gateway.rollout

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.rollout.RolloutOrder
import org.heatherwind.core.rollout.RolloutPhase
import org.heatherwind.core.rollout.RolloutStatus
import org.heatherwind.gateway.state.FleetDocuments
import org.heatherwind.gateway.state.StreamSubscriber
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog
import kotlin.random.Random

/**
 * Stores the phases of roll-outs. Every router may write; an append takes effect only if nothing was stored since the
 * writer read all statuses, so a write based on an outdated read changes nothing.
 */
internal class RolloutStatusWriter(
    private val store: RecordStore,
    private val documents: FleetDocuments,
    private val statuses: StreamSubscriber,
    private val rollouts: Rollouts,
    private val clock: MonotonicClock,
    private val wallClock: () -> Timestamp,
    private val log: DecisionLog,
    private val random: Random = Random.Default,
) {
    /** Stores the phase that [tracked] should have by now, if it is not stored yet. */
    suspend fun writeWanted(tracked: TrackedRollout) {
        val rollout = tracked.rollout
        val now = clock.now()
        val isStoredAnywhere = rollout.order.offset != RolloutOrder.NO_OFFSET
        if (phaseToStore(tracked, now) == null || !isStoredAnywhere || now < tracked.nextWriteAt) return
        tracked.nextWriteAt = now.plusMilliseconds(RETRY_MILLISECONDS + random.nextLong(RETRY_MILLISECONDS))
        val read = store.newest(documents.statusPartition)
        if (read !is StreamRead.Records) return
        statuses.onSnapshot(read.records)
        statuses.onCurrent(clock.now(), isReconnected = false)
        val phase = phaseToStore(tracked, clock.now()) ?: return
        val status = statusOf(tracked, phase)
        val record = documents.rolloutStatusRecord(status)
        val append = store.append(documents.statusPartition, listOf(record), AppendCondition.EndsAt(read.nextOffset))
        log.stateChange(
            Rollouts.SUBJECT,
            if (append is StreamAppend.Appended) "Stored the phase of a roll-out." else "Could not store the phase.",
            "service" to status.service.value,
            "order" to rollout.order.offset,
            "phase" to phase,
            "outcome" to append,
            "verdict" to rollout.verdict,
            "answers" to rollout.evidence.introducedAnswers,
        )
        when (append) {
            is StreamAppend.Appended -> {
                rollouts.adoptStatus(status)
                tracked.isPhaseLost = false
            }

            // Another router was faster: its status is read at once.
            StreamAppend.Conflict -> tracked.nextWriteAt = clock.now()

            is StreamAppend.OutOfSequence, is StreamAppend.Rejected, is StreamAppend.Unknown -> Unit
        }
    }

    private fun phaseToStore(tracked: TrackedRollout, now: MonotonicTime): RolloutPhase? =
        tracked.rollout.wantedPhase(now) ?: tracked.rollout.phase.takeIf { tracked.isPhaseLost }

    private fun statusOf(tracked: TrackedRollout, phase: RolloutPhase): RolloutStatus {
        val rollout = tracked.rollout
        val remaining = rollout.deadline.millisecondsSince(clock.now())
        return RolloutStatus(
            service = rollout.order.service,
            targetVersion = rollout.order.targetVersion,
            phase = phase,
            orderOffset = rollout.order.offset,
            endsAt = Timestamp(wallClock().epochMilliseconds + remaining),
        )
    }

    private companion object {
        /** Pause between attempts, in which several routers seldom collide twice. */
        const val RETRY_MILLISECONDS = 250L
    }
}
