package org.heatherwind.gateway.rollout

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.rollout.RolloutPolicy
import org.heatherwind.core.target.TargetDirectory
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.serve.AttemptResult
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.MemoryRecordStore
import org.heatherwind.gateway.state.MemoryRecords
import org.heatherwind.gateway.state.PollingPolicy
import org.heatherwind.gateway.state.RouterReport
import org.heatherwind.gateway.state.StreamFollower
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import kotlin.random.Random

/** A request that a router sent, to a target of [version], at [at]. */
internal class SentRequest(val version: String, val at: Long, val isBad: Boolean)

/** The behaviour of the new version's targets: a [badShare] of the answers fails, from [badFrom] on. */
internal class NewVersion(val badShare: Double, val badFrom: Long = 0)

/** One router of a simulated fleet: its roll-outs, its requests and its reports, under virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RolloutRouter(
    private val name: String,
    private val scope: TestScope,
    private val records: MemoryRecords,
    private val random: Random,
    private val faultProbability: Double,
    private val requestsPerSecond: Int,
    private val newVersion: NewVersion,
) {
    /** All requests sent by this router and its predecessors on the instance. */
    val sent = mutableListOf<SentRequest>()
    private var processScope: CoroutineScope? = null
    private var store: MemoryRecordStore? = null
    private var epoch = 0L

    /** The running process, or null. */
    var manager: RolloutManager? = null
        private set

    /** Starts a process with no state of earlier ones. [peers] receive its reports. */
    fun start(peers: List<RolloutRouter>) {
        val process = CoroutineScope(scope.coroutineContext + Job(scope.coroutineContext[Job]))
        val clock = MonotonicClock { MonotonicTime(scope.currentTime) }
        val recordStore = MemoryRecordStore(records, random, process, faultProbability)
        val incarnation = Incarnation.of(InstanceId(name), Timestamp(++epoch))
        val metrics = GatewayMetrics()
        val log = DecisionLog(clock, metrics)
        val started = RolloutManager(
            self = incarnation,
            store = recordStore,
            documents = TextDocuments,
            state = FleetState().apply { adoptDirectory(targets) },
            policy = RolloutPolicy(exposureLimit = 0.1),
            clock = clock,
            wallClock = { Timestamp(scope.currentTime) },
            log = log,
            metrics = metrics,
            random = random,
        )
        processScope = process
        store = recordStore
        manager = started
        val orders = StreamFollower(
            recordStore,
            TextDocuments.planPartition,
            { PollingPolicy(waitMilliseconds = 0, pauseMilliseconds = 100) },
            clock,
            log,
            started.orders,
        )
        process.launch { orders.run() }
        process.launch { started.runStatusReads() }
        process.launch { started.runDecisions() }
        process.launch { sendRequests(process, started) }
        process.launch { sendReports(incarnation, started, peers) }
    }

    /** Ends the process at once. */
    fun kill() {
        processScope?.cancel()
        manager = null
    }

    /** Cuts this router off from the store, or ends that. */
    fun setDisconnected(isDisconnected: Boolean) {
        store?.isDisconnected = isDisconnected
    }

    private suspend fun sendRequests(process: CoroutineScope, manager: RolloutManager) {
        while (process.isActive) {
            delay(1 + random.nextLong(2_000L / requestsPerSecond))
            if (manager.isReady) process.launch { sendRequest(manager) }
        }
    }

    private suspend fun sendRequest(manager: RolloutManager) {
        val introduced = if (manager.drawIntroduced(service)) manager.introducedTargetsOf(service) else emptyList()
        val target = introduced.ifEmpty { manager.targetsOf(service) }.randomOrNull(random) ?: return
        val isNew = target.entry.version == NEW
        val isBad = isNew && scope.currentTime >= newVersion.badFrom && random.nextDouble() < newVersion.badShare
        sent += SentRequest(target.entry.version, scope.currentTime, isBad)
        val placement = Placement(target, uncachedTokens = 0, prefillMilliseconds = 0.0, expectedMilliseconds = 50.0)
        val observation = manager.observe(service, "chat", placement) ?: return
        delay(30 + random.nextLong(60))
        if (isBad) return observation.end(AttemptResult.Incomplete("reset"))
        repeat(6) {
            observation.recordEvent()
            delay(20 + random.nextLong(10))
        }
        observation.end(AttemptResult.Delivered(200))
    }

    private suspend fun sendReports(incarnation: Incarnation, manager: RolloutManager, peers: List<RolloutRouter>) {
        while (processScope?.isActive == true) {
            delay(REPORT_INTERVAL_MILLISECONDS)
            if (store?.isDisconnected == true) continue
            val report = RouterReport(incarnation.value, epoch, 0, scope.currentTime, rollouts = manager.reports())
            peers.filter { it.store?.isDisconnected == false }.forEach { it.manager?.recordReport(report) }
        }
    }

    companion object {
        const val OLD = "v1"
        const val NEW = "v2"
        val service = ServiceId("pool")
        private const val REPORT_INTERVAL_MILLISECONDS = 1_000L

        private val targets = (1..9).fold(TargetDirectory()) { directory, number ->
            directory.with(
                TargetEntry(
                    id = TargetId("t$number"),
                    service = service,
                    host = "10.0.0.$number",
                    port = 80,
                    dataCentre = DataCentreId("a"),
                    version = if (number <= 6) OLD else NEW,
                    slots = 8,
                    isDraining = false,
                ),
            )
        }
    }
}
