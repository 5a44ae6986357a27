package org.heatherwind.gateway.state

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.peer.CeilingWitness
import org.heatherwind.gateway.peer.CloseCeilingsRequest
import org.heatherwind.gateway.peer.QuotaTransferRequest
import org.heatherwind.gateway.peer.StoreCeilingsRequest
import org.heatherwind.gateway.peer.WitnessReference
import org.heatherwind.gateway.peer.WitnessService
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import java.net.InetSocketAddress
import kotlin.random.Random

/** The budget components of a router for [customers], in virtual time. It can be killed and started again. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class BudgetRouter(
    private val name: String,
    private val test: TestScope,
    private val records: MemoryRecords,
    private val customers: List<Customer>,
    private val random: Random,
    private val faultProbability: Double = 0.0,
    private val maximumAnswerDelayMilliseconds: Long = 0,
    private val partitions: Int = 2,
    private val countCalls: (RecordStore) -> RecordStore = { it },
) {
    val clock = MonotonicClock { MonotonicTime(test.currentTime) }
    private var scope: CoroutineScope? = null
    private var store: MemoryRecordStore? = null
    private var isDisconnected = false
    private var witness: CeilingWitness? = null
    private var ledgers: BudgetLedgers? = null

    /** The budgets of the running process, or null if none is running. */
    var budgets: BudgetManager? = null
        private set

    /** Routers from which this one requests quota transfers, and that may be its witness. */
    var peers: List<BudgetRouter> = emptyList()

    fun setDisconnected(disconnected: Boolean) {
        isDisconnected = disconnected
        store?.isDisconnected = disconnected
    }

    fun kill() {
        scope?.cancel()
        scope = null
        budgets = null
        witness = null
    }

    /** Starts a process. Returns the scope of its tasks, or null if a process is running already. */
    fun start(): CoroutineScope? {
        if (scope != null) return null
        val processScope = CoroutineScope(Job() + StandardTestDispatcher(test.testScheduler))
        val startedAt = wallClock()
        val self = Incarnation.of(InstanceId(name), startedAt)
        val ownStore = newStore()
        val countedStore = countCalls(ownStore)
        val log = DecisionLog(clock, GatewayMetrics())
        val witnesses = PeerWitnesses()
        val peerReports = PeerReports(self, clock, log, onStoreRestored = { storeAgain(processScope) })
        val predecessorCharges = PredecessorCharges(self, startedAt, witnesses, log)
        val reports = ReportPublisher(
            self = self,
            store = countedStore,
            clock = clock,
            log = log,
            peerReports = peerReports,
            predecessorCharges = predecessorCharges,
            wallClock = ::wallClock,
            isLeaving = { false },
            peerAddress = InetSocketAddress.createUnresolved(name, 1),
            witnesses = witnesses,
        )
        val ledgers = BudgetLedgers(countedStore, partitions, self, clock, log) { peerReports.isLargeFleet }
        this.ledgers = ledgers
        val policy = GrantPolicy()
        val fleetBudgets = FleetBudgetView(peerReports, ::customerOf)
        val manager = BudgetManager(
            grants = GrantUpdater(self, fleetBudgets, peerReports, policy, clock, log, ::customerOf),
            fleetBudgets = fleetBudgets,
            ledgers = ledgers,
            scope = processScope,
            clock = clock,
            log = log,
            policy = policy,
            customers = { customers },
            customerOf = ::customerOf,
            reports = reports,
            peerReports = peerReports,
            quotaSource = { customer, neededTokens -> acquire(customer, neededTokens) },
        )
        budgets = manager
        witness = CeilingWitness(self)
        reports.budgets = manager
        scope = processScope
        store = ownStore
        processScope.launch {
            reports.run(onFenced = {
                processScope.launch {
                    PredecessorGrants(self, ledgers, predecessorCharges, log, peerReports::liveCount).closeAll()
                }
            })
        }
        processScope.launch { followerOf(countedStore, peerReports, log).run() }
        processScope.launch { reports.runWitnessUpdates() }
        processScope.launch { runMaintenance(manager) }
        return processScope
    }

    private fun followerOf(store: RecordStore, reports: PeerReports, log: DecisionLog) =
        StreamFollower(store, ReportPublisher.partition, reports::pollingPolicy, clock, log, reports)

    private fun storeAgain(processScope: CoroutineScope) {
        processScope.launch { ledgers?.storeAgain(routers = peers.size + 1) }
    }

    private fun newStore() = MemoryRecordStore(
        records,
        random,
        test.backgroundScope,
        faultProbability,
        maximumAnswerDelayMilliseconds,
    ).also { it.isDisconnected = isDisconnected }

    private suspend fun runMaintenance(manager: BudgetManager) {
        while (true) {
            delay(REBALANCE_INTERVAL_MILLISECONDS)
            manager.rebalance()
        }
    }

    private inner class PeerWitnesses : WitnessService {
        override suspend fun storeCeilings(
            witness: WitnessReference,
            holder: String,
            ceilings: Map<String, Long>,
        ): Boolean {
            delay(random.nextLong(1, 5))
            val request = StoreCeilingsRequest(witness.incarnation, holder, ceilings)
            val isStored = processOf(witness)?.storeCeilings(request)?.isStored == true
            return isStored && random.nextDouble() >= faultProbability
        }

        override suspend fun closeCeilings(witness: WitnessReference, holder: String): Map<String, Long>? {
            delay(random.nextLong(1, 5))
            return processOf(witness)?.closeCeilings(CloseCeilingsRequest(witness.incarnation, holder))?.ceilings
        }

        private fun processOf(witness: WitnessReference) =
            peers.firstOrNull { it.name == witness.address.substringBefore(':') }?.witness
    }

    private fun customerOf(id: CustomerId): Customer? = customers.firstOrNull { it.id == id }

    private fun wallClock() = Timestamp(EPOCH + test.currentTime)

    private suspend fun acquire(customer: CustomerId, neededTokens: Long): Long {
        delay(random.nextLong(1, 5))
        val quotaSource = peers.shuffled(random).firstNotNullOfOrNull { it.budgets } ?: return 0
        val tokens = quotaSource.transferQuota(QuotaTransferRequest(customer.value, neededTokens * 2))
        return if (random.nextDouble() < faultProbability) 0 else tokens
    }

    private companion object {
        const val EPOCH = 1_700_000_000_000L
        const val REBALANCE_INTERVAL_MILLISECONDS = 250L
    }
}
