package org.heatherwind.gateway.state

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.http.socketAddressOf
import org.heatherwind.gateway.peer.WitnessReference
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/** The newest report of each router, as read from the store. Confined to the event loop. */
internal class PeerReports(
    private val self: Incarnation,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) : StreamSubscriber {
    private val latest = HashMap<InstanceId, Known>()
    private var contactAt = MonotonicTime.distantPast

    /** The newest report of this instance, by this process or an earlier one. */
    val ofThisInstance: RouterReport? get() = latest[self.instance]?.report

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
    fun quotaSourcesOf(customer: CustomerId): List<InetSocketAddress> = latest.values
        .filter { it.report.incarnation != self.value && !it.report.isLeaving }
        .sortedByDescending { it.report.budgets[customer.value]?.availableTokens ?: 0 }
        .mapNotNull { it.peerAddress }

    /** Where other routers listen. */
    fun peers(): List<InetSocketAddress> = latest.values
        .filter { it.report.incarnation != self.value && !it.report.isLeaving }
        .mapNotNull { it.peerAddress }

    private fun isFresh(known: Known): Boolean =
        minOf(clock.now(), contactAt).millisecondsSince(known.seenAt) < FORGOTTEN_MILLISECONDS

    /** Who should keep this router's ceilings: [present] while it lives, otherwise the next live router by name. */
    fun witnessAfter(present: WitnessReference?): WitnessReference? {
        val live = latest.values.filter { it.report.incarnation != self.value && !it.report.isLeaving && isFresh(it) }
        val kept = present?.takeIf { witness -> live.any { it.report.incarnation == witness.incarnation } }
        val next = live.sortedBy { it.report.incarnation }
            .let { sorted -> sorted.firstOrNull { it.report.incarnation > self.value } ?: sorted.firstOrNull() }
        return kept ?: next?.report?.let { report ->
            report.peerAddress?.let { WitnessReference(report.incarnation, it) }
        }
    }

    /** How the reports of all routers are read. */
    fun pollingPolicy(): PollingPolicy {
        val routers = liveCount()
        return PollingPolicy(
            waitMilliseconds = 0,
            pauseMilliseconds = maxOf(READ_PAUSE_MILLISECONDS, routers * READ_PAUSE_PER_ROUTER_MILLISECONDS),
            isNewestOnly = routers > FOLLOWED_ROUTERS,
        )
    }

    override fun onSnapshot(records: List<KeyedRecord>): Unit = onRecords(records)

    override fun onRecords(records: List<KeyedRecord>) {
        val now = clock.now()
        records.forEach { record -> take(record, now) }
    }

    override fun onCurrent(now: MonotonicTime, isRegained: Boolean) {
        contactAt = now
    }

    private fun take(record: KeyedRecord, now: MonotonicTime) {
        val value = record.value ?: return
        try {
            val report = Json.decodeFromString(RouterReport.serializer(), value.decodeToString())
            latest[InstanceId(record.key)] = Known(report, now)
        } catch (failure: SerializationException) {
            log.stateChange(
                "reports",
                "Ignored an unreadable report.",
                "router" to record.key,
                "reason" to failure.message,
            )
        }
    }

    private class Known(val report: RouterReport, val seenAt: MonotonicTime) {
        val peerAddress: InetSocketAddress? = report.peerAddress?.let { socketAddressOf(it) }
    }

    private companion object {
        /** Others' use changes shares and prospects, which may lag by some seconds. */
        const val READ_PAUSE_MILLISECONDS = 1_000L

        /** Keeps what a router reads of reports to some tens of kilobytes a second in a large fleet. */
        const val READ_PAUSE_PER_ROUTER_MILLISECONDS = 50L

        /** In larger fleets most reports are replaced before the next read. */
        const val FOLLOWED_ROUTERS = 16

        /** Several intervals and reads, so that a lost report does not change the count. */
        const val FORGOTTEN_MILLISECONDS = 10_000L
    }
}
