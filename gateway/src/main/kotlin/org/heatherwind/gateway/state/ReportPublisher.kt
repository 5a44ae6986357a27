package org.heatherwind.gateway.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.heatherwind.core.escrow.SpendCeiling
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.crash.CrashReport
import org.heatherwind.gateway.http.hostAndPort
import org.heatherwind.gateway.peer.WitnessReference
import org.heatherwind.gateway.peer.WitnessService
import org.heatherwind.gateway.rollout.RolloutReport
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.loggingFailures
import java.net.InetSocketAddress

/** Supplies the budgets that this router reports, and is notified when reports are sent and confirmed. */
internal interface BudgetReportSource {
    /** Returns the current state of the budgets, by customer. */
    fun currentReports(): Map<CustomerId, BudgetReport>

    /** Called when [reported] is sent to the store at [sentAt]. */
    fun onProposed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime)

    /** Called when the store has confirmed [reported], sent at [sentAt]. */
    fun onConfirmed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime)

    /** Called when a witness has stored the ceilings of [reported]. */
    fun onWitnessed(reported: Map<CustomerId, BudgetReport>)
}

/**
 * Publishes this router's reports to the store, and its spend ceilings to a witness while the store is not responding.
 * Reports of one instance are fenced by an epoch, so that a late report of a predecessor never follows those of its
 * successor. Confined to the event loop.
 */
internal class ReportPublisher(
    private val self: Incarnation,
    private val store: RecordStore,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val peerReports: PeerReports,
    private val predecessorCharges: PredecessorCharges,
    private val wallClock: () -> Timestamp,
    private val isLeaving: () -> Boolean,
    private val peerAddress: InetSocketAddress?,
    private val witnesses: WitnessService,
    private val crashes: () -> List<CrashReport> = { emptyList() },
    private val rolloutReports: () -> Map<String, RolloutReport> = { emptyMap() },
    private val relayAddress: () -> InetSocketAddress? = { null },
    private val isOverloaded: () -> Boolean = { false },
) {
    /** The source of the budgets in reports. */
    lateinit var budgets: BudgetReportSource

    private val callInFlight = Mutex()
    private val startedAt = clock.now()
    private var confirmedAt = MonotonicTime.distantPast

    /** Time from the last sent report to the store's response. */
    private var confirmationMilliseconds = 0L
    private var epoch = 0L
    private var sequence = 0L
    private var unconfirmedReport: SentReport? = null
    private var confirmedWitness: WitnessReference? = null
    private var lastComposedAt = MonotonicTime.distantPast
    private var reportRequested = CompletableDeferred<Unit>()

    /** Completed when a request waits for the next report. */
    private var reportAwaited = CompletableDeferred<Unit>()
    private var publishAttemptEnded = CompletableDeferred<Unit>()

    /** Whether predecessors on this instance are fenced and can no longer report. */
    var isFenced = false
        private set

    /** Whether no earlier process ran on this instance, as when a whole fleet starts for the first time. */
    val isFirstProcess: Boolean get() = epoch <= 1

    /** Returns whether the store has confirmed no report for so long that quota transfers are faster. */
    fun isStoreUnresponsive(): Boolean =
        clock.now().millisecondsSince(confirmedAt) > intervalMilliseconds() + UNRESPONSIVE_MILLISECONDS

    /**
     * Returns whether the store has confirmed no report for so long that a request should not wait for it. The time
     * begins at the start of the process, whose first report may take a while.
     */
    fun isStoreUnreachable(): Boolean =
        clock.now().millisecondsSince(maxOf(confirmedAt, startedAt)) > intervalMilliseconds() + UNREACHABLE_MILLISECONDS

    /** Fences predecessors, then publishes reports until cancelled. */
    suspend fun run(onFenced: () -> Unit) {
        while (!isFenced) {
            log.loggingFailures("reports") { fencePredecessors() }
            if (!isFenced) delay(FENCE_RETRY_PAUSE_MILLISECONDS)
        }
        onFenced()
        while (currentCoroutineContext().isActive) {
            log.loggingFailures("reports") { publishOnce() }
            val minimumForFleet = peerReports.liveCount() * MINIMUM_PAUSE_PER_ROUTER_MILLISECONDS
            val pauseAhead = maxOf(MINIMUM_PAUSE_MILLISECONDS, minimumForFleet)
            delay(MINIMUM_PAUSE_MILLISECONDS)
            delay(awaitedPause(pauseAhead) - MINIMUM_PAUSE_MILLISECONDS)
            withTimeoutOrNull(pauseAhead - awaitedPause(pauseAhead)) { reportAwaited.await() }
            if (!reportAwaited.isCompleted) {
                withTimeoutOrNull(intervalMilliseconds() - pauseAhead) { reportRequested.await() }
            }
        }
    }

    /**
     * Returns the pause before a report that a request waits for, at most [pauseAhead]. All reports go through one
     * partition, so routers pause longer the longer it takes to confirm one.
     */
    private fun awaitedPause(pauseAhead: Long): Long =
        (confirmationMilliseconds * PAUSE_PER_CONFIRMATION).coerceIn(MINIMUM_PAUSE_MILLISECONDS, pauseAhead)

    private fun intervalMilliseconds(): Long =
        maxOf(INTERVAL_MILLISECONDS, peerReports.liveCount() * INTERVAL_PER_ROUTER_MILLISECONDS)

    /** Sends ceilings to the witness while the store is not responding, until cancelled. */
    suspend fun runWitnessUpdates() {
        while (currentCoroutineContext().isActive) {
            delay(if (isStoreUnresponsive()) WITNESS_INTERVAL_MILLISECONDS else INTERVAL_MILLISECONDS)
            log.loggingFailures("witness") { storeCeilingsOnce() }
        }
    }

    /**
     * Ceilings at a witness are valid only if every report that the store may contain names that witness, since a
     * successor calls the witness named in the last report. At least [SpendCeiling.WITNESS_MILLISECONDS] must also
     * have passed since the last report, since a successor calls no witness if that report is more recent.
     */
    private suspend fun storeCeilingsOnce() {
        val witness = confirmedWitness ?: return
        val isDelayElapsed = clock.now().millisecondsSince(lastComposedAt) > SpendCeiling.WITNESS_MILLISECONDS
        val pendingReport = unconfirmedReport
        val isNamedByAllReports = pendingReport == null || pendingReport.witness == witness
        if (!isDelayElapsed || !isNamedByAllReports) return
        val reported = budgets.currentReports()
        val ceilings = reported.entries.associate { (customer, budget) -> customer.value to budget.ceilingTokens }
        val isStored = witnesses.storeCeilings(witness, self.value, ceilings)
        if (isStored && unconfirmedReport === pendingReport) budgets.onWitnessed(reported)
    }

    /** Requests a report before the interval ends, and waits until the current or next attempt to publish has ended. */
    suspend fun requestReportAndWait() {
        reportAwaited.complete(Unit)
        reportRequested.complete(Unit)
        publishAttemptEnded.await()
    }

    /** Requests a report before the interval ends. */
    fun requestReport() {
        reportRequested.complete(Unit)
    }

    /** Publishes a new report. An earlier report whose outcome is unknown is sent again first. */
    suspend fun publishOnce() {
        // In a planned stop the last report is published beside the regular ones.
        callInFlight.withLock {
            reportRequested = CompletableDeferred()
            reportAwaited = CompletableDeferred()
            if (unconfirmedReport != null) send()
            if (unconfirmedReport == null) {
                unconfirmedReport = compose()
                send()
            }
            publishAttemptEnded.complete(Unit)
            publishAttemptEnded = CompletableDeferred()
        }
    }

    private fun compose(): SentReport {
        sequence++
        val reported = budgets.currentReports()
        val report = RouterReport(
            incarnation = self.value,
            epoch = epoch,
            sequence = sequence,
            epochMilliseconds = wallClock().epochMilliseconds,
            budgets = reported.mapKeys { it.key.value },
            predecessors = predecessorCharges.charges.entries.associate { (process, charges) ->
                process.value to
                    charges.entries.associate { it.key.value to ChargeReport(it.value.atLeast, it.value.atMost) }
            },
            isDraining = isLeaving(),
            isOverloaded = isOverloaded(),
            peerAddress = peerAddress?.hostAndPort,
            relayAddress = relayAddress()?.hostAndPort,
            witness = peerReports.selectWitness(confirmedWitness),
            crashes = crashes(),
            rollouts = rolloutReports(),
        )
        lastComposedAt = clock.now()
        budgets.onProposed(reported, lastComposedAt)
        return SentReport(
            bytes = Json.encodeToString(RouterReport.serializer(), report).encodeToByteArray(),
            budgets = reported,
            composedAt = lastComposedAt,
            witness = report.witness,
        )
    }

    private suspend fun send() {
        val report = unconfirmedReport ?: return
        val condition = AppendCondition.NextOf(self.instance.value, epoch, sequence)
        val sentAt = clock.now()
        val append = store.append(partition, listOf(NewRecord(self.instance.value, report.bytes)), condition)
        confirmationMilliseconds = clock.now().millisecondsSince(sentAt)
        when (append) {
            is StreamAppend.Appended -> {
                unconfirmedReport = null
                confirmedAt = report.composedAt
                confirmedWitness = report.witness
                budgets.onConfirmed(report.budgets, report.composedAt)
            }

            is StreamAppend.OutOfSequence -> {
                log.stateChange(
                    "reports",
                    "The store rejected a report as out of sequence.",
                    "sent" to sequence,
                    "expected" to append.expected,
                )
                sequence = append.expected - 1
                unconfirmedReport = null
            }

            StreamAppend.Conflict -> {
                log.stateChange(
                    "reports",
                    "The store rejected a report because a later epoch has begun; fencing again.",
                    "epoch" to epoch,
                )
                unconfirmedReport = null
                fencePredecessors()
            }

            is StreamAppend.Rejected, is StreamAppend.Unknown ->
                log.stateChange(
                    "reports",
                    "The store did not confirm a report.",
                    "sequence" to sequence,
                    "outcome" to append,
                )
        }
    }

    private suspend fun fencePredecessors(): Boolean {
        if (!readAll()) return false
        val nextEpoch = (peerReports.latestOfThisInstance?.epoch ?: 0) + 1
        val fence = AppendCondition.NextOf(self.instance.value, nextEpoch, sequence = 0)
        val outcome = store.append(partition, emptyList(), fence)
        if (outcome !is StreamAppend.Appended || !readAll()) return false
        epoch = nextEpoch
        sequence = 0
        // The others' newest reports may be an interval old, so as much is not deducted.
        val sinceStart = (clock.now().millisecondsSince(startedAt) - intervalMilliseconds()).coerceAtLeast(0)
        peerReports.latestOfThisInstance
            ?.let { predecessorCharges.recordFinalReport(it, peerReports.latestTimestamp, sinceStart) }
        isFenced = true
        log.stateChange(
            "reports",
            "Fenced the predecessors on this instance.",
            "epoch" to epoch,
            "predecessors" to predecessorCharges.charges.size,
        )
        return true
    }

    private suspend fun readAll(): Boolean {
        val read = store.newest(partition)
        if (read !is StreamRead.Records) return false
        peerReports.onSnapshot(read.records)
        return true
    }

    private class SentReport(
        val bytes: ByteArray,
        val budgets: Map<CustomerId, BudgetReport>,
        val composedAt: MonotonicTime,
        val witness: WitnessReference?,
    )

    companion object {
        /** The partition that holds the reports of all routers. */
        val partition = StreamPartition("routers")

        /** Short, since the tokens that a router may charge between two reports are lost if its process dies. */
        private const val INTERVAL_MILLISECONDS = 250L

        /** Requests for a report within this time are combined into one report. */
        private const val MINIMUM_PAUSE_MILLISECONDS = 15L

        /** Leaves the partition of the reports time to catch up: routers that all wait fill it, but no queue grows. */
        private const val PAUSE_PER_CONFIRMATION = 4

        /** While the store is unreachable, requests that need a higher ceiling wait about this long. */
        private const val WITNESS_INTERVAL_MILLISECONDS = 60L

        /** Limits a large fleet's reports that no request waits for to a few hundred per second. */
        private const val MINIMUM_PAUSE_PER_ROUTER_MILLISECONDS = 2L

        /** Limits the regular reports of a large fleet to about a hundred per second. */
        private const val INTERVAL_PER_ROUTER_MILLISECONDS = 10L

        /** Added to the report interval; many times the response time of the store. */
        private const val UNRESPONSIVE_MILLISECONDS = 200L

        /** Added to the report interval; allows for several attempts without a response. */
        private const val UNREACHABLE_MILLISECONDS = 950L

        /** Pause before fencing is tried again. */
        private const val FENCE_RETRY_PAUSE_MILLISECONDS = 100L
    }
}
