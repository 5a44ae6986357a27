package org.heatherwind.gateway.rollout

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.rollout.AnswerRecorder
import org.heatherwind.core.rollout.RolloutPhase
import org.heatherwind.core.rollout.ServiceRollout
import org.heatherwind.core.rollout.VersionEvidence

/**
 * One order with the answers counted for it at this router and at others.
 *
 * @property nextWriteAt time before which the status is not written again
 */
internal class TrackedRollout(val rollout: ServiceRollout, var nextWriteAt: MonotonicTime) {
    val recorder = AnswerRecorder()
    private val reported = HashMap<String, VersionEvidence>()

    /** Share of the requests that was last logged. */
    var loggedShare = 0.0

    /** Whether the phase has to be stored again, since the store came back from a copy. */
    var isPhaseLost = false

    /** Whether the phase may still change. */
    val isOpen: Boolean get() = rollout.phase?.isFinal != true

    /** Whether answers are counted. */
    val isRunning: Boolean get() = rollout.phase == RolloutPhase.Running

    /** Records the counters of the router process [incarnation], which stay valid after its end. */
    fun recordReport(incarnation: String, evidence: VersionEvidence) {
        if (incarnation in reported || reported.size < MAXIMUM_PROCESSES) reported[incarnation] = evidence
    }

    /** Returns the evidence of all routers. */
    fun pooledEvidence(): VersionEvidence = reported.values.fold(recorder.evidence()) { sum, other -> sum + other }

    private companion object {
        /** Bounds memory; more than the routers that a deployment replaces during one roll-out. */
        const val MAXIMUM_PROCESSES = 2_000
    }
}
