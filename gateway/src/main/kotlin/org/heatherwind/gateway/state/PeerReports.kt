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

/** The newest report of each router, as last read from the store. Confined to the event loop. */
internal class PeerReports(
    private val self: Incarnation,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) : StreamSubscriber {
    private val latestByInstance = HashMap<InstanceId, ReceivedReport>()
    private var lastReadAt = MonotonicTime.distantPast

    /** The newest report of this instance, by this process or a predecessor. */
    val latestOfThisInstance: RouterReport? get() = latestByInstance[self.instance]?.report

    /**
     * Number of live routers, this one included. A router is live while it reports and is not draining. Time during
     * which this router cannot read the store is not counted as time without a report.
     */
    fun liveCount(): Int {
        val others = latestByInstance.count { (instance, received) ->
            instance != self.instance && isFresh(received) && !received.report.isDraining
        }
        return others + 1
    }

    /** Tokens of [customer] charged by other holders of grants in [allocation], as last reported. */
    fun usedElsewhere(customer: CustomerId, allocation: BudgetAllocation): Long =
        otherHolderReports(allocation).sumOf { it.budgets[customer.value]?.usedTokens ?: 0 }

    /** Tokens of [customer] that other holders have charged or may charge before their next confirmed report. */
    fun committedElsewhere(customer: CustomerId, allocation: BudgetAllocation): Long =
        otherHolderReports(allocation).sumOf { it.budgets[customer.value]?.ceilingTokens ?: 0 }

    /** Reports of other holders with an open grant; charges on closed grants are part of the allocation. */
    private fun otherHolderReports(allocation: BudgetAllocation): List<RouterReport> =
        latestByInstance.values.map { it.report }
            .filter { it.incarnation != self.value && Incarnation(it.incarnation) in allocation.grants }

    /** Tokens of [customer] requested per second at other routers, as last reported. */
    fun demandElsewhere(customer: CustomerId): Double = latestByInstance.values.sumOf { received ->
        val isOther = received.report.incarnation != self.value && !received.report.isDraining
        if (isOther) received.report.budgets[customer.value]?.demandPerSecond?.toDouble() ?: 0.0 else 0.0
    }

    /** Addresses of other routers, those with the most available tokens of [customer] first, as last reported. */
    fun quotaSourceAddressesOf(customer: CustomerId): List<InetSocketAddress> = latestByInstance.values
        .filter { it.report.incarnation != self.value && !it.report.isDraining }
        .sortedByDescending { it.report.budgets[customer.value]?.availableTokens ?: 0 }
        .mapNotNull { it.peerAddress }

    /** Addresses of the other routers that are not draining. */
    fun peerAddresses(): List<InetSocketAddress> = latestByInstance.values
        .filter { it.report.incarnation != self.value && !it.report.isDraining }
        .mapNotNull { it.peerAddress }

    private fun isFresh(received: ReceivedReport): Boolean =
        minOf(clock.now(), lastReadAt).millisecondsSince(received.receivedAt) < LIVENESS_TIMEOUT_MILLISECONDS

    /**
     * Returns the witness for this router's ceilings: [current] while it is live, otherwise the next live router in the
     * order of incarnations, or null if there is none.
     */
    fun selectWitness(current: WitnessReference?): WitnessReference? {
        val live = latestByInstance.values
            .filter { it.report.incarnation != self.value && !it.report.isDraining && isFresh(it) }
        val retained = current?.takeIf { witness -> live.any { it.report.incarnation == witness.incarnation } }
        val next = live.sortedBy { it.report.incarnation }
            .let { sorted -> sorted.firstOrNull { it.report.incarnation > self.value } ?: sorted.firstOrNull() }
        return retained ?: next?.report?.let { report ->
            report.peerAddress?.let { WitnessReference(report.incarnation, it) }
        }
    }

    /** Returns how often and how to read the reports of all routers, depending on the size of the fleet. */
    fun pollingPolicy(): PollingPolicy {
        val routers = liveCount()
        return PollingPolicy(
            waitMilliseconds = 0,
            pauseMilliseconds = maxOf(READ_PAUSE_MILLISECONDS, routers * READ_PAUSE_PER_ROUTER_MILLISECONDS),
            isNewestOnly = routers > MAXIMUM_ROUTERS_READ_INCREMENTALLY,
        )
    }

    override fun onSnapshot(records: List<KeyedRecord>): Unit = onRecords(records)

    override fun onRecords(records: List<KeyedRecord>) {
        val now = clock.now()
        records.forEach { record -> recordReport(record, now) }
    }

    override fun onCurrent(now: MonotonicTime, isReconnected: Boolean) {
        lastReadAt = now
    }

    private fun recordReport(record: KeyedRecord, now: MonotonicTime) {
        val value = record.value ?: return
        try {
            val report = Json.decodeFromString(RouterReport.serializer(), value.decodeToString())
            latestByInstance[InstanceId(record.key)] = ReceivedReport(report, now)
        } catch (failure: SerializationException) {
            log.stateChange(
                "reports",
                "Ignored a report that could not be parsed.",
                "router" to record.key,
                "reason" to failure.message,
            )
        }
    }

    private class ReceivedReport(val report: RouterReport, val receivedAt: MonotonicTime) {
        val peerAddress: InetSocketAddress? = report.peerAddress?.let { socketAddressOf(it) }
    }

    private companion object {
        /** Other routers' charges affect grant sizes and budget levels, which may lag by a few seconds. */
        const val READ_PAUSE_MILLISECONDS = 1_000L

        /** Limits the reports that a router of a large fleet reads to some tens of kilobytes per second. */
        const val READ_PAUSE_PER_ROUTER_MILLISECONDS = 50L

        /** In larger fleets most reports are replaced before the next read, so only the newest are read. */
        const val MAXIMUM_ROUTERS_READ_INCREMENTALLY = 16

        /** Several report intervals and reads, so that one missing report does not change the live count. */
        const val LIVENESS_TIMEOUT_MILLISECONDS = 10_000L
    }
}
