package org.heatherwind.gateway.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.escrow.SpendCeiling
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.Moment
import org.heatherwind.core.identity.SteadyClock
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.peer.WitnessName
import org.heatherwind.gateway.peer.Witnesses
import org.heatherwind.gateway.store.AppendCondition
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.store.StreamRead
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/** What this router reports of its budgets, and hears of the confirmation. */
internal interface ReportedBudgets {
    /** The present state, by customer. */
    fun present(): Map<CustomerId, BudgetReport>

    /** [reported] is sent to the store at [sentAt]. */
    fun onProposed(reported: Map<CustomerId, BudgetReport>, sentAt: Moment)

    /** The store confirmed [reported], sent at [sentAt]. */
    fun onConfirmed(reported: Map<CustomerId, BudgetReport>, sentAt: Moment)

    /** A witness keeps [reported]. */
    fun onWitnessed(reported: Map<CustomerId, BudgetReport>)
}

/**
 * Publishes this router's report and keeps those of the others. Reports of one instance are fenced by an epoch, so that
 * a late report of an earlier process can never follow those of its successor. Confined to the event loop.
 */
internal class RouterReports(
    private val self: Incarnation,
    private val store: RecordStore,
    private val clock: SteadyClock,
    private val log: DecisionLog,
    private val startedAt: Timestamp,
    private val timeOfDay: () -> Timestamp,
    private val isLeaving: () -> Boolean,
    private val peerAddress: InetSocketAddress?,
    private val witnesses: Witnesses,
) : StreamSubscriber {
    /** The budgets that reports carry. */
    lateinit var budgets: ReportedBudgets

    private val latest = HashMap<InstanceId, Known>()
    private var contactAt = Moment.distantPast
    private var confirmedAt = Moment.distantPast
    private var epoch = 0L
    private var sequence = 0L
    private var unconfirmed: SentReport? = null
    private var confirmedWitness: WitnessName? = null
    private var composedAt = Moment.distantPast
    private var wanted = CompletableDeferred<Unit>()
    private var published = CompletableDeferred<Unit>()

    /** What earlier processes on this instance may have charged, by process and customer, until it is closed. */
    var predecessors: Map<Incarnation, Map<CustomerId, HolderCharge>> = emptyMap()

    /** Whether earlier processes on this instance can no longer report. */
    var isEstablished = false
        private set

    /** Routers that report, this one included. Silence while the store is out of reach removes none. */
    fun liveCount(): Int {
        val others = latest.count { (instance, known) ->
            instance != self.instance && isFresh(known) && !known.report.isLeaving
        }
        return others + 1
    }

    /** Tokens of [customer] charged by other holders of grants in [allocation], as last reported. */
    fun usedElsewhere(customer: CustomerId, allocation: BudgetAllocation): Long =
        holdersElsewhere(allocation).sumOf { it.budgets[customer.value]?.usedTokens ?: 0 }

    /** Tokens of [customer] that other holders charged or may charge before their next report. */
    fun committedElsewhere(customer: CustomerId, allocation: BudgetAllocation): Long =
        holdersElsewhere(allocation).sumOf { it.budgets[customer.value]?.ceilingTokens ?: 0 }

    /** Reports of other holders. What a closed grant was charged stands in the allocation already. */
    private fun holdersElsewhere(allocation: BudgetAllocation): List<RouterReport> = latest.values.map { it.report }
        .filter { it.incarnation != self.value && Incarnation(it.incarnation) in allocation.grants }

    /** Tokens of [customer] asked for per second at other routers, as last reported. */
    fun demandElsewhere(customer: CustomerId): Double = latest.values.sumOf { known ->
        val isOther = known.report.incarnation != self.value && !known.report.isLeaving
        if (isOther) known.report.budgets[customer.value]?.demandPerSecond?.toDouble() ?: 0.0 else 0.0
    }

    /** Where routers listen that hold tokens of [customer], by their last reports, the largest holding first. */
    fun lendersOf(customer: CustomerId): List<InetSocketAddress> = latest.values
        .filter { it.report.incarnation != self.value && !it.report.isLeaving }
        .sortedByDescending { it.report.budgets[customer.value]?.availableTokens ?: 0 }
        .mapNotNull { it.peerAddress }

    /** Where other routers listen. */
    fun peers(): List<InetSocketAddress> = latest.values
        .filter { it.report.incarnation != self.value && !it.report.isLeaving }
        .mapNotNull { it.peerAddress }

    /** Whether the store confirmed nothing for longer than usual, so that other routers are the faster way to tokens. */
    fun isStoreSilent(): Boolean = clock.now().millisecondsSince(confirmedAt) > intervalMilliseconds() + SILENT_MILLISECONDS

    /** Whether the store confirmed nothing for so long that waiting for it does not help an open request. */
    fun isStoreLost(): Boolean = clock.now().millisecondsSince(confirmedAt) > intervalMilliseconds() + LOST_MILLISECONDS

    /** Fences off earlier processes, then publishes until it is cancelled. */
    suspend fun run(onEstablished: () -> Unit) {
        while (!establish()) delay(ESTABLISH_PAUSE_MILLISECONDS)
        onEstablished()
        while (currentCoroutineContext().isActive) {
            publishOnce()
            val shortest = maxOf(MINIMUM_PAUSE_MILLISECONDS, liveCount() * MINIMUM_PAUSE_PER_ROUTER_MILLISECONDS)
            delay(shortest)
            withTimeoutOrNull(intervalMilliseconds() - shortest) { wanted.await() }
        }
    }

    private fun intervalMilliseconds(): Long =
        maxOf(INTERVAL_MILLISECONDS, liveCount() * INTERVAL_PER_ROUTER_MILLISECONDS)

    /** Has ceilings kept by the witness while the store is silent, until it is cancelled. */
    suspend fun runWitnessed() {
        while (currentCoroutineContext().isActive) {
            delay(WITNESSED_PAUSE_MILLISECONDS)
            witnessOnce()
        }
    }

    /**
     * The witness counts only if every report that the store may hold names it, and only after a silence that a successor
     * can tell from a short one.
     */
    private suspend fun witnessOnce() {
        val witness = confirmedWitness ?: return
        val isSilent = clock.now().millisecondsSince(composedAt) > SpendCeiling.WITNESS_MILLISECONDS
        val pending = unconfirmed
        if (!isSilent || pending != null && pending.witness != witness) return
        val reported = budgets.present()
        val ceilings = reported.entries.associate { (customer, budget) -> customer.value to budget.ceilingTokens }
        val isKept = witnesses.keep(witness, self.value, ceilings)
        if (isKept && unconfirmed === pending) budgets.onWitnessed(reported)
    }

    /** The next live router by name keeps this one's ceilings, and stays the one while it lives. */
    private fun chooseWitness(): WitnessName? {
        val live = latest.values.filter { it.report.incarnation != self.value && !it.report.isLeaving && isFresh(it) }
        val present = confirmedWitness?.takeIf { witness -> live.any { it.report.incarnation == witness.incarnation } }
        val next = live.sortedBy { it.report.incarnation }
            .let { sorted -> sorted.firstOrNull { it.report.incarnation > self.value } ?: sorted.firstOrNull() }
        return present ?: next?.report?.let { report ->
            report.peerAddress?.let { WitnessName(report.incarnation, it) }
        }
    }

    private fun isFresh(known: Known): Boolean =
        minOf(clock.now(), contactAt).millisecondsSince(known.seenAt) < FORGOTTEN_MILLISECONDS

    /** How the reports of all routers are read. */
    fun followPace(): FollowPace {
        val routers = liveCount()
        return FollowPace(
            waitMilliseconds = 0,
            pauseMilliseconds = maxOf(READ_PAUSE_MILLISECONDS, routers * READ_PAUSE_PER_ROUTER_MILLISECONDS),
            isNewestOnly = routers > FOLLOWED_ROUTERS,
        )
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
            predecessors = predecessors.entries.associate { (process, charges) ->
                process.value to
                    charges.entries.associate { it.key.value to ChargeReport(it.value.atLeast, it.value.atMost) }
            },
            isLeaving = isLeaving(),
            peerAddress = peerAddress?.let { "${it.hostString}:${it.port}" },
            witness = chooseWitness(),
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
                log.belief(
                    "reports",
                    "A report was out of sequence.",
                    "sent" to sequence,
                    "expected" to append.expected,
                )
                sequence = append.expected - 1
                unconfirmed = null
            }

            StreamAppend.Conflict -> {
                log.belief("reports", "Reports of this process are fenced off.", "epoch" to epoch)
                unconfirmed = null
                establish()
            }

            is StreamAppend.Rejected, is StreamAppend.Unknown ->
                log.belief("reports", "A report was not confirmed.", "sequence" to sequence, "outcome" to append)
        }
    }

    private suspend fun establish(): Boolean {
        if (!readAll()) return false
        val next = (latest[self.instance]?.report?.epoch ?: 0) + 1
        val fence = AppendCondition.NextOf(self.instance.value, next, sequence = 0)
        val outcome = store.append(partition, emptyList(), fence)
        if (outcome !is StreamAppend.Appended || !readAll()) return false
        epoch = next
        sequence = 0
        latest[self.instance]?.report?.let { notePredecessor(it) }
        isEstablished = true
        log.belief("reports", "Fenced off earlier processes.", "epoch" to epoch, "predecessors" to predecessors.size)
        return true
    }

    private suspend fun readAll(): Boolean {
        val read = store.newest(partition)
        if (read !is StreamRead.Records) return false
        onSnapshot(read.records)
        return true
    }

    /** Works out what the last process may have charged after its last report. */
    private suspend fun notePredecessor(report: RouterReport) {
        if (report.incarnation == self.value) return
        val silentMilliseconds = startedAt.millisecondsSince(Timestamp(report.epochMilliseconds))
        val mayBeWitnessed = silentMilliseconds < 0 ||
            silentMilliseconds > SpendCeiling.WITNESS_MILLISECONDS - CLOCK_MARGIN_MILLISECONDS
        val witnessed = report.witness?.takeIf { mayBeWitnessed }?.let { witnesses.close(it, report.incarnation) }
        val isWitnessLost = mayBeWitnessed && witnessed == null && report.witness != null
        val charges = report.budgets.entries.associate { (customer, budget) ->
            val kept = witnessed?.get(customer) ?: Long.MIN_VALUE
            val atMost = when {
                silentMilliseconds < 0 -> Long.MAX_VALUE

                isWitnessLost -> maxOf(
                    budget.ceiling.after(silentMilliseconds),
                    budget.ceiling.witnessedAfter(silentMilliseconds),
                )

                else -> maxOf(budget.ceiling.after(silentMilliseconds), kept)
            }
            CustomerId(customer) to HolderCharge(budget.usedTokens, atMost)
        }
        val earlier = report.predecessors.entries.associate { (process, charged) ->
            Incarnation(process) to charged.entries.associate { CustomerId(it.key) to it.value.charge }
        }
        predecessors = earlier + (Incarnation(report.incarnation) to charges)
        log.belief(
            "budget",
            "An earlier process may have charged up to its ceilings.",
            "process" to report.incarnation,
            "silentMilliseconds" to silentMilliseconds,
            "isWitnessed" to (witnessed != null),
            "isWitnessLost" to isWitnessLost,
            "used" to report.budgets.values.sumOf { it.usedTokens },
            "ceilings" to report.budgets.values.sumOf { it.ceilingTokens },
        )
    }

    override fun onSnapshot(records: List<KeyedRecord>): Unit = onRecords(records)

    override fun onRecords(records: List<KeyedRecord>) {
        val now = clock.now()
        records.forEach { record -> take(record, now) }
    }

    override fun onCurrent(now: Moment, isRegained: Boolean) {
        contactAt = now
    }

    private fun take(record: KeyedRecord, now: Moment) {
        val value = record.value ?: return
        try {
            val report = Json.decodeFromString(RouterReport.serializer(), value.decodeToString())
            latest[InstanceId(record.key)] = Known(report, now)
        } catch (failure: SerializationException) {
            log.belief("reports", "Ignored an unreadable report.", "router" to record.key, "reason" to failure.message)
        }
    }

    private class Known(val report: RouterReport, val seenAt: Moment) {
        val peerAddress: InetSocketAddress? = report.peerAddress?.let { text ->
            text.substringAfterLast(':').toIntOrNull()?.let { InetSocketAddress(text.substringBeforeLast(':'), it) }
        }
    }

    private class SentReport(
        val bytes: ByteArray,
        val budgets: Map<CustomerId, BudgetReport>,
        val composedAt: Moment,
        val witness: WitnessName?,
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

        /** Times of day differ between processes by less than this. */
        private const val CLOCK_MARGIN_MILLISECONDS = 300L

        /** Keeps the reports that budgets ask for to some hundred a second in a large fleet. */
        private const val MINIMUM_PAUSE_PER_ROUTER_MILLISECONDS = 2L

        /** Others' use changes shares and prospects, which may lag by some seconds. */
        private const val READ_PAUSE_MILLISECONDS = 1_000L

        /** Keeps what a router reads of reports to some tens of kilobytes a second in a large fleet. */
        private const val READ_PAUSE_PER_ROUTER_MILLISECONDS = 50L

        /** In larger fleets most reports are replaced before the next read. */
        private const val FOLLOWED_ROUTERS = 16

        /** Keeps the appends of a large fleet to about a hundred a second. */
        private const val INTERVAL_PER_ROUTER_MILLISECONDS = 10L

        /** Beyond the usual interval: many times the store's answer time. */
        private const val SILENT_MILLISECONDS = 200L

        /** Beyond the usual interval: several tries without an answer. */
        private const val LOST_MILLISECONDS = 950L

        /** Pause before fencing is tried again. */
        private const val ESTABLISH_PAUSE_MILLISECONDS = 100L

        /** Several intervals and reads, so that a lost report does not change the count. */
        private const val FORGOTTEN_MILLISECONDS = 10_000L
    }
}
