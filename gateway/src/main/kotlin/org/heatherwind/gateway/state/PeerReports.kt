package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.BudgetAllocation
import org.heatherwind.core.escrow.RemainingBudget
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.document.BoundedJson
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
    private val onReport: (RouterReport) -> Unit = {},
    private val onStoreRestored: () -> Unit = {},
) : StreamSubscriber {
    private val latestByInstance = HashMap<InstanceId, ReceivedReport>()
    private var lastReadAt = MonotonicTime.distantPast

    private var liveCount = 1
    private var nextLiveCountAt = MonotonicTime.distantPast
    private var knownToOthersAt = MonotonicTime(Long.MAX_VALUE)
    private var possible: Set<InstanceId>? = null
    private var nextPossibleRoutersAt = MonotonicTime.distantPast

    /** Sums over the reports by customer, which every request needs; computed once for each change of the reports. */
    private val totals = HashMap<CustomerId, CustomerTotals>()

    /** The newest report of this instance, by this process or a predecessor. */
    val latestOfThisInstance: RouterReport? get() = latestByInstance[self.instance]?.report

    /** The newest wall-clock time in the last reports of all routers. */
    val latestTimestamp: Timestamp?
        get() = latestByInstance.values.maxOfOrNull { it.report.epochMilliseconds }?.let { Timestamp(it) }

    /**
     * Number of live routers, this one included. A router is live while it reports and is not draining. Time during
     * which this router cannot read the store is not counted as time without a report.
     */
    fun liveCount(): Int {
        val now = clock.now()
        if (now >= nextLiveCountAt) {
            liveCount = 1 + latestByInstance.count { (instance, received) ->
                instance != self.instance && isFresh(received) && !received.report.isDraining
            }
            nextLiveCountAt = now.plusMilliseconds(LIVE_COUNT_MILLISECONDS)
        }
        return liveCount
    }

    /** Number of live routers other than this one that have reported to be overloaded. */
    fun overloadedCount(): Int = latestByInstance.count { (instance, received) ->
        instance != self.instance && isFresh(received) && received.report.isOverloaded
    }

    /**
     * The routers that may send requests, this one included, or null until a report was read; the same set until it
     * changes. A router that does not report may be cut off from the store only, so it remains for long.
     */
    val possibleRouters: Set<InstanceId>?
        get() {
            val now = clock.now()
            if (now >= nextPossibleRoutersAt) {
                val reporting = latestByInstance.filterValues { wasHeardOf(it) }.keys
                val routers = if (latestByInstance.isEmpty()) null else reporting + self.instance
                if (routers != possible) possible = routers
                nextPossibleRoutersAt = now.plusMilliseconds(LIVE_COUNT_MILLISECONDS)
            }
            return possible
        }

    /** Whether so many routers are live that their updates of the store often meet. */
    val isLargeFleet: Boolean get() = liveCount() > RemainingBudget.SMALL_FLEET_ROUTERS

    /** Whether another router has reported so often that the routers of its fleet know each other. */
    val isFleetRunning: Boolean
        get() = latestByInstance.any { (instance, received) ->
            instance != self.instance && received.report.sequence >= REPORTS_OF_RUNNING_FLEET
        }

    /** Whether the other routers that read reports know this one, as a report of it or a predecessor is old enough. */
    val isKnownToOthers: Boolean get() = clock.now() >= knownToOthersAt

    /** Tokens of [customer] charged by other holders of grants in [allocation], as last reported. */
    fun usedElsewhere(customer: CustomerId, allocation: BudgetAllocation): Long =
        totalsOf(customer, allocation).usedTokens

    /** Tokens of [customer] that other holders have charged or may charge before their next confirmed report. */
    fun committedElsewhere(customer: CustomerId, allocation: BudgetAllocation): Long =
        totalsOf(customer, allocation).committedTokens

    /** Tokens of [customer] requested per second at other routers, as last reported. */
    fun demandElsewhere(customer: CustomerId, allocation: BudgetAllocation): Double =
        totalsOf(customer, allocation).demandPerSecond

    private fun totalsOf(customer: CustomerId, allocation: BudgetAllocation): CustomerTotals =
        totals[customer]?.takeIf { it.allocation === allocation }
            ?: computeTotals(customer, allocation).also { totals[customer] = it }

    /** Sums up the reports of other routers. Charges on closed grants are part of the [allocation]. */
    private fun computeTotals(customer: CustomerId, allocation: BudgetAllocation): CustomerTotals {
        val others = latestByInstance.values.filter { it.report.incarnation != self.value }
        val holders = others.filter { it.incarnation in allocation.grants }
        return CustomerTotals(
            allocation = allocation,
            usedTokens = holders.sumOf { it.report.budgets[customer.value]?.usedTokens ?: 0 },
            committedTokens = holders.sumOf { it.report.budgets[customer.value]?.ceilingTokens ?: 0 },
            demandPerSecond = others.filterNot { it.report.isDraining }
                .sumOf { it.report.budgets[customer.value]?.demandPerSecond ?: 0 }.toDouble(),
        )
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

    /** Addresses at which other live routers connect to targets on request. */
    fun relayAddresses(): List<InetSocketAddress> = latestByInstance.values
        .filter { it.report.incarnation != self.value && !it.report.isDraining && isFresh(it) }
        .mapNotNull { it.relayAddress }

    private fun isFresh(received: ReceivedReport): Boolean = ageMilliseconds(received) < LIVENESS_TIMEOUT_MILLISECONDS

    private fun wasHeardOf(received: ReceivedReport): Boolean = ageMilliseconds(received) < FORGETTING_MILLISECONDS

    /** Returns the age of [received], less the time in which this router could not read the store. */
    private fun ageMilliseconds(received: ReceivedReport): Long =
        minOf(clock.now(), lastReadAt).millisecondsSince(received.receivedAt)

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

    override fun onRestored(now: MonotonicTime): Unit = onStoreRestored()

    override fun onCurrent(now: MonotonicTime, isReconnected: Boolean) {
        lastReadAt = now
    }

    private fun recordReport(record: KeyedRecord, now: MonotonicTime) {
        val value = record.value ?: return
        totals.clear()
        nextLiveCountAt = now
        try {
            val report = BoundedJson.decode(RouterReport.serializer(), value.decodeToString())
            val earlier = latestByInstance.put(InstanceId(record.key), ReceivedReport(report, now))
            if (earlier == null) nextPossibleRoutersAt = now
            if (earlier == null && record.key == self.instance.value) recordFirstOwnReport(report, now)
            onReport(report)
        } catch (failure: IllegalArgumentException) {
            log.stateChange(
                "reports",
                "Ignored a report that could not be parsed.",
                "router" to record.key,
                "reason" to failure.message,
            )
        }
    }

    /** The others learn of a new instance when they read its report, and know the instance of a predecessor. */
    private fun recordFirstOwnReport(report: RouterReport, now: MonotonicTime) {
        val isOfPredecessor = report.incarnation != self.value
        knownToOthersAt = if (isOfPredecessor) now else now.plusMilliseconds(LEARNING_MILLISECONDS)
    }

    private class ReceivedReport(val report: RouterReport, val receivedAt: MonotonicTime) {
        val peerAddress: InetSocketAddress? = report.peerAddress?.let { socketAddressOf(it) }
        val relayAddress: InetSocketAddress? = report.relayAddress?.let { socketAddressOf(it) }
        val incarnation = Incarnation(report.incarnation)
    }

    /** Sums over the reports of other routers for one customer, given the holders of grants in [allocation]. */
    private class CustomerTotals(
        val allocation: BudgetAllocation,
        val usedTokens: Long,
        val committedTokens: Long,
        val demandPerSecond: Double,
    )

    private companion object {
        /** Short in comparison with the liveness timeout; every request needs the count several times. */
        const val LIVE_COUNT_MILLISECONDS = 100L

        /** Takes longer than the routers of a small fleet need to read each other's first reports. */
        const val REPORTS_OF_RUNNING_FLEET = 12L

        /** More than twice the time in which a router of a large fleet reads the reports of all. */
        const val LEARNING_MILLISECONDS = 10_000L

        /** Longer than a router usually serves without the store; until then its shares may be in use. */
        const val FORGETTING_MILLISECONDS = 600_000L

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
