package org.heatherwind.gateway.rollout

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.rollout.RolloutPolicy
import org.heatherwind.gateway.state.FleetDocuments
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.PollingPolicy
import org.heatherwind.gateway.state.RouterReport
import org.heatherwind.gateway.state.StreamFollower
import org.heatherwind.gateway.state.StreamSubscriber
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.heatherwind.gateway.telemetry.loggingFailures
import kotlin.random.Random

/** Carries out roll-outs: selects targets by version, counts answers and stores phases. Confined to the event loop. */
internal class RolloutManager(
    private val self: Incarnation,
    store: RecordStore,
    documents: FleetDocuments,
    state: FleetState,
    policy: RolloutPolicy,
    private val clock: MonotonicClock,
    wallClock: () -> Timestamp,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val random: Random = Random.Default,
) {
    private val rollouts = Rollouts(policy, clock, wallClock, log)
    private val targets = VersionedTargets(state, rollouts, clock)
    private val observations = LinkedHashSet<AttemptObservation>()
    private val statuses = RolloutStatusSubscriber(rollouts, documents, log)
    private val statusFollower =
        StreamFollower(store, documents.statusPartition, { STATUS_POLLING }, clock, log, statuses)
    private val writer = RolloutStatusWriter(store, documents, statuses, rollouts, clock, wallClock, log, random)

    /** Receives the operators' orders. */
    val orders: StreamSubscriber = RolloutOrderSubscriber(rollouts, documents, log) {
        clock.now().plusMilliseconds(random.nextLong(FIRST_WRITE_SPREAD_MILLISECONDS))
    }

    /** Whether the phases of all orders are known, so that no request goes to a version that was rolled back. */
    val isReady: Boolean get() = rollouts.isReady

    /** Returns whether the next request for [service] should go to the ordered version, at random by its share. */
    fun drawIntroduced(service: ServiceId): Boolean {
        val rollout = rollouts.of(service)?.takeIf { it.isRunning }?.rollout ?: return false
        return rollouts.isCurrent(clock.now()) && random.nextDouble() < rollout.share
    }

    /** Returns the targets of the ordered version of [service] that get its share of requests. */
    fun introducedTargetsOf(service: ServiceId): List<TargetLoad> = targets.introducedOf(service)

    /** Returns the targets of [service] to which any request may be sent. */
    fun targetsOf(service: ServiceId): List<TargetLoad> = targets.establishedOf(service)

    /** Starts to observe an attempt, or returns null if the service has no roll-out under way. */
    fun observe(service: ServiceId, route: String, placement: Placement): AttemptObservation? {
        val tracked = rollouts.of(service)?.takeIf { it.isRunning } ?: return null
        val isIntroduced = placement.target.entry.version == tracked.rollout.order.targetVersion
        val counts = tracked.recorder.countsOf(route, isIntroduced)
        metrics.countRolloutAttempt(service.value, placement.target.entry.version)
        return AttemptObservation(counts, placement.expectedMilliseconds, clock) { observations -= it }
            .also { observations += it }
    }

    /** Returns this router's counters for its report, by service. */
    fun reports(): Map<String, RolloutReport> = rollouts.all.filter { it.isRunning }.associate { tracked ->
        val order = tracked.rollout.order
        order.service.value to RolloutReport.of(order.offset, tracked.recorder.evidence())
    }

    /** Records the counters in another router's report. */
    fun recordReport(report: RouterReport) {
        if (report.incarnation == self.value) return
        for ((service, counters) in report.rollouts) {
            val tracked = rollouts.of(ServiceId(service))?.takeIf { it.rollout.order.offset == counters.order }
            tracked?.recordReport(report.incarnation, counters.evidence())
        }
    }

    /** Reads statuses while a roll-out is under way, until cancelled. */
    suspend fun runStatusReads() {
        while (currentCoroutineContext().isActive) {
            log.loggingFailures(Rollouts.SUBJECT) { if (rollouts.isAnyOpen) statusFollower.poll() }
            delay(STATUS_POLLING.pauseMilliseconds)
        }
    }

    /** Compares versions and stores phases, until cancelled. */
    suspend fun runDecisions() {
        while (currentCoroutineContext().isActive) {
            delay(DECISION_INTERVAL_MILLISECONDS)
            log.loggingFailures(Rollouts.SUBJECT) { decideOnce() }
        }
    }

    /** Compares the versions of each roll-out under way, and stores the phases that follow. */
    suspend fun decideOnce() {
        val now = clock.now()
        observations.forEach { it.checkOverdue(now) }
        for (tracked in rollouts.all.filter { it.isOpen || it.isPhaseLost }) {
            val rollout = tracked.rollout
            if (rollout.isVersionInUse == null) {
                rollout.isVersionInUse = targets.hasOnly(rollout.order.service, rollout.order.targetVersion)
            }
            if (tracked.isRunning) compare(tracked)
            writer.writeWanted(tracked)
        }
    }

    private fun compare(tracked: TrackedRollout) {
        val rollout = tracked.rollout
        if (rollout.compare(tracked.pooledEvidence(), clock.now())) {
            logStep(tracked, "The verdict on a new version changed.")
        }
        if (rollout.share != tracked.loggedShare) {
            tracked.loggedShare = rollout.share
            logStep(tracked, "The share of a new version changed.")
        }
        metrics.recordRolloutShare(rollout.order.service.value, rollout.share)
    }

    private fun logStep(tracked: TrackedRollout, sentence: String) {
        val rollout = tracked.rollout
        val evidence = rollout.evidence
        log.stateChange(
            Rollouts.SUBJECT,
            sentence,
            "service" to rollout.order.service.value,
            "target" to rollout.order.targetVersion,
            "order" to rollout.order.offset,
            "verdict" to rollout.verdict,
            "share" to rollout.share,
            "answers" to evidence.introducedAnswers,
            "failures" to evidence.introduced.values.sumOf { it.failures },
            "establishedAnswers" to evidence.established.values.sumOf { it.answers },
        )
    }

    private companion object {
        val STATUS_POLLING = PollingPolicy(waitMilliseconds = 800, pauseMilliseconds = 100)

        /** Routers write the first status at different times, so that most find it written. */
        const val FIRST_WRITE_SPREAD_MILLISECONDS = 700L
        const val DECISION_INTERVAL_MILLISECONDS = 250L
    }
}
