package org.heatherwind.core.rollout

import org.heatherwind.core.identity.MonotonicTime

/** One order and what this router knows of it. Confined to one thread. */
public class ServiceRollout(order: RolloutOrder, private val policy: RolloutPolicy, orderedAt: MonotonicTime) {
    private val comparison = VersionComparison()

    /** The order, with the offset at which it is stored now. */
    public var order: RolloutOrder = order
        private set

    /** Whether all targets had the ordered version already when the order was read; null until that is known. */
    public var isVersionInUse: Boolean? = null

    /** When the order is due. */
    public var deadline: MonotonicTime = orderedAt.plusMilliseconds(order.durationMilliseconds)
        private set

    /** The stored phase, or null while none is known. */
    public var phase: RolloutPhase? = null
        private set

    /** Evidence of all routers, as last compared. */
    public var evidence: VersionEvidence = VersionEvidence()
        private set

    /** The verdict on the ordered version. */
    public val verdict: VersionVerdict get() = comparison.verdict

    /** Share of the first attempts that go to the ordered version. */
    public val share: Double
        get() = when {
            phase == RolloutPhase.Completed -> 1.0
            phase != RolloutPhase.Running || verdict is VersionVerdict.Worse -> 0.0
            else -> policy.share(evidence.introducedAnswers)
        }

    /**
     * Adopts the stored [status] of this order, read when its deadline was [remainingMilliseconds] ahead, or null where
     * that is unknown. A final phase is never left. Returns whether the phase changed.
     */
    public fun adopt(status: RolloutStatus, now: MonotonicTime, remainingMilliseconds: Long?): Boolean {
        if (phase?.isFinal == true || phase == status.phase) return false
        phase = status.phase
        if (remainingMilliseconds != null) {
            deadline = minOf(deadline, now.plusMilliseconds(remainingMilliseconds.coerceAtLeast(0)))
        }
        return true
    }

    /** Records that the order is stored at [offset] now, since the store came back from a copy. */
    public fun renumber(offset: Long) {
        order = order.copy(offset = offset)
    }

    /** Compares the versions by [evidence] of all routers, known at [now]. Returns whether the verdict changed. */
    public fun compare(evidence: VersionEvidence, now: MonotonicTime): Boolean {
        val before = verdict
        this.evidence = evidence
        return comparison.update(evidence, now) != before
    }

    /** Returns the phase that should be stored at [now], or null if the stored one holds. */
    public fun wantedPhase(now: MonotonicTime): RolloutPhase? {
        val reserve = policy.reserveMilliseconds(order.durationMilliseconds)
        val isDue = now >= deadline.plusMilliseconds(-reserve)
        // A router that lacks the latest reports leaves the others time to complete the roll-out.
        val isOverdue = now >= deadline.plusMilliseconds(-reserve / 2)
        val wanted = when {
            phase == null && isVersionInUse == true -> RolloutPhase.Completed
            verdict is VersionVerdict.Worse -> RolloutPhase.RolledBack
            isDue && verdict is VersionVerdict.Sound -> RolloutPhase.Completed
            isOverdue -> RolloutPhase.RolledBack
            else -> RolloutPhase.Running
        }
        return wanted.takeIf { phase?.isFinal != true && it != phase }
    }
}
