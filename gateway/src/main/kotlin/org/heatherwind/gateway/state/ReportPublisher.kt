package org.heatherwind.gateway.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.heatherwind.core.escrow.SpendCeiling
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.http.hostAndPort
import org.heatherwind.gateway.peer.WitnessReference
import org.heatherwind.gateway.peer.WitnessService
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/** What this router reports of its budgets, and hears of the confirmation. */
internal interface BudgetReportSource {
    /** The present state, by customer. */
    fun present(): Map<CustomerId, BudgetReport>

    /** [reported] is sent to the store at [sentAt]. */
    fun onProposed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime)

    /** The store confirmed [reported], sent at [sentAt]. */
    fun onConfirmed(reported: Map<CustomerId, BudgetReport>, sentAt: MonotonicTime)

    /** A witness keeps [reported]. */
    fun onWitnessed(reported: Map<CustomerId, BudgetReport>)
}

/**
 * Publishes this router's report, or has a witness keep it. Reports of one instance are fenced by an epoch, so that
 * a late report of an earlier process can never follow those of its successor. Confined to the event loop.
 */
internal class ReportPublisher(
    private val self: Incarnation,
    private val store: RecordStore,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val peerReports: PeerReports,
    private val predecessorCharges: PredecessorCharges,
    private val timeOfDay: () -> Timestamp,
    private val isLeaving: () -> Boolean,
    private val peerAddress: InetSocketAddress?,
    private val witnesses: WitnessService,
) {
    /** The budgets that reports carry. */
    lateinit var budgets: BudgetReportSource

    private var confirmedAt = MonotonicTime.distantPast
    private var epoch = 0L
    private var sequence = 0L
    private var unconfirmed: SentReport? = null
    private var confirmedWitness: WitnessReference? = null
    private var composedAt = MonotonicTime.distantPast
    private var wanted = CompletableDeferred<Unit>()
    private var published = CompletableDeferred<Unit>()

    /** Whether earlier processes on this instance can no longer report. */
    var isEstablished = false
        private set

    /** Whether the store confirmed nothing for so long that other routers are the faster way to tokens. */
    fun isStoreSilent(): Boolean =
        clock.now().millisecondsSince(confirmedAt) > intervalMilliseconds() + SILENT_MILLISECONDS

    /** Whether the store confirmed nothing for so long that waiting for it does not help an open request. */
    fun isStoreLost(): Boolean = clock.now().millisecondsSince(confirmedAt) > intervalMilliseconds() + LOST_MILLISECONDS

    /** Fences off earlier processes, then publishes until it is cancelled. */
    suspend fun run(onEstablished: () -> Unit) {
        while (!establish()) delay(ESTABLISH_PAUSE_MILLISECONDS)
        onEstablished()
        while (currentCoroutineContext().isActive) {
            publishOnce()
            val perRouter = peerReports.liveCount() * MINIMUM_PAUSE_PER_ROUTER_MILLISECONDS
            val shortest = maxOf(MINIMUM_PAUSE_MILLISECONDS, perRouter)
            delay(shortest)
            withTimeoutOrNull(intervalMilliseconds() - shortest) { wanted.await() }
        }
    }

    private fun intervalMilliseconds(): Long =
        maxOf(INTERVAL_MILLISECONDS, peerReports.liveCount() * INTERVAL_PER_ROUTER_MILLISECONDS)

    /** Has ceilings kept by the witness while the store is silent, until it is cancelled. */
    suspend fun runWitnessed() {
        while (currentCoroutineContext().isActive) {
            delay(if (isStoreSilent()) WITNESSED_PAUSE_MILLISECONDS else INTERVAL_MILLISECONDS)
            witnessOnce()
        }
    }

    /**
     * The witness counts only if every report that the store may hold names it, and only after a silence that a
     * successor can tell from a short one.
     */
    private suspend fun witnessOnce() {
        val witness = confirmedWitness ?: return
        val isSilent = clock.now().millisecondsSince(composedAt) > SpendCeiling.WITNESS_MILLISECONDS
        val pending = unconfirmed
        val isNamedThroughout = pending == null || pending.witness == witness
        if (!isSilent || !isNamedThroughout) return
        val reported = budgets.present()
        val ceilings = reported.entries.associate { (customer, budget) -> customer.value to budget.ceilingTokens }
        val isKept = witnesses.keep(witness, self.value, ceilings)
        if (isKept && unconfirmed === pending) budgets.onWitnessed(reported)
    }

    /** Asks for a report soon, and waits until the next one was sent. */
    suspend fun publishSoon() {
        wanted.complete(Unit)
        published.await()
    }

    /** Asks for a report soon. */
    fun wantPublished() {
        wanted.complete(Unit)
    }

    /** Publishes the present report, or first the one before it whose fate is unknown. */
    suspend fun publishOnce() {
        wanted = CompletableDeferred()
        if (unconfirmed != null) send()
        if (unconfirmed == null) {
            unconfirmed = compose()
            send()
        }
        published.complete(Unit)
        published = CompletableDeferred()
    }

    private fun compose(): SentReport {
        sequence++
        val reported = budgets.present()
        val report = RouterReport(
            incarnation = self.value,
            epoch = epoch,
            sequence = sequence,
            epochMilliseconds = timeOfDay().epochMilliseconds,
            budgets = reported.mapKeys { it.key.value },
            predecessors = predecessorCharges.charges.entries.associate { (process, charges) ->
                process.value to
                    charges.entries.associate { it.key.value to ChargeReport(it.value.atLeast, it.value.atMost) }
            },
            isLeaving = isLeaving(),
            peerAddress = peerAddress?.hostAndPort,
            witness = peerReports.witnessAfter(confirmedWitness),
        )
        composedAt = clock.now()
        budgets.onProposed(reported, composedAt)
        return SentReport(
            bytes = Json.encodeToString(RouterReport.serializer(), report).encodeToByteArray(),
            budgets = reported,
            composedAt = composedAt,
            witness = report.witness,
        )
    }

    private suspend fun send() {
        val report = unconfirmed ?: return
        val condition = AppendCondition.NextOf(self.instance.value, epoch, sequence)
        when (val append = store.append(partition, listOf(NewRecord(self.instance.value, report.bytes)), condition)) {
            is StreamAppend.Appended -> {
                unconfirmed = null
                confirmedAt = report.composedAt
                confirmedWitness = report.witness
                budgets.onConfirmed(report.budgets, report.composedAt)
            }

            is StreamAppend.OutOfSequence -> {
                log.stateChange(
                    "reports",
                    "A report was out of sequence.",
                    "sent" to sequence,
                    "expected" to append.expected,
                )
                sequence = append.expected - 1
                unconfirmed = null
            }

            StreamAppend.Conflict -> {
                log.stateChange("reports", "Reports of this process are fenced off.", "epoch" to epoch)
                unconfirmed = null
                establish()
            }

            is StreamAppend.Rejected, is StreamAppend.Unknown ->
                log.stateChange("reports", "A report was not confirmed.", "sequence" to sequence, "outcome" to append)
        }
    }

    private suspend fun establish(): Boolean {
        if (!readAll()) return false
        val next = (peerReports.ofThisInstance?.epoch ?: 0) + 1
        val fence = AppendCondition.NextOf(self.instance.value, next, sequence = 0)
        val outcome = store.append(partition, emptyList(), fence)
        if (outcome !is StreamAppend.Appended || !readAll()) return false
        epoch = next
        sequence = 0
        peerReports.ofThisInstance?.let { predecessorCharges.note(it) }
        isEstablished = true
        log.stateChange(
            "reports",
            "Fenced off earlier processes.",
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
        /** Where reports lie. */
        val partition = StreamPartition("routers")

        /** What a router may charge between two reports is lost to the customer when it dies, so they are frequent. */
        private const val INTERVAL_MILLISECONDS = 250L

        /** Reports that budgets ask for are gathered for this long. */
        private const val MINIMUM_PAUSE_MILLISECONDS = 15L

        /** Requests that need a higher ceiling wait about this long while the store is out of reach. */
        private const val WITNESSED_PAUSE_MILLISECONDS = 60L

        /** Keeps the reports that budgets ask for to some hundred a second in a large fleet. */
        private const val MINIMUM_PAUSE_PER_ROUTER_MILLISECONDS = 2L

        /** Keeps the appends of a large fleet to about a hundred a second. */
        private const val INTERVAL_PER_ROUTER_MILLISECONDS = 10L

        /** Beyond the usual interval: many times the store's answer time. */
        private const val SILENT_MILLISECONDS = 200L

        /** Beyond the usual interval: several tries without an answer. */
        private const val LOST_MILLISECONDS = 950L

        /** Pause before fencing is tried again. */
        private const val ESTABLISH_PAUSE_MILLISECONDS = 100L
    }
}
