package org.heatherwind.router

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.heatherwind.clients.HttpClients
import org.heatherwind.clients.instances.HttpInstanceList
import org.heatherwind.clients.instances.InstanceList
import org.heatherwind.clients.instances.ListedInstance
import org.heatherwind.clients.log.HttpLogService
import org.heatherwind.clients.log.LogService
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.protocol.peer.ExchangeMessage
import org.heatherwind.router.configuration.ConfigurationReplica
import org.heatherwind.router.entry.CallerServer
import org.heatherwind.router.entry.ChatHandler
import org.heatherwind.router.entry.EngineClient
import org.heatherwind.router.entry.EntryContext
import org.heatherwind.router.entry.PlainServiceClient
import org.heatherwind.router.entry.PlainServiceHandler
import org.heatherwind.router.entry.RequestIdentity
import org.heatherwind.router.entry.RequestTraces
import org.heatherwind.router.entry.SettlementDispatcher
import org.heatherwind.router.entry.SlotAllocator
import org.heatherwind.router.operator.BudgetOperations
import org.heatherwind.router.operator.ConfigurationOperations
import org.heatherwind.router.operator.OperatorServer
import org.heatherwind.router.peer.AbandonedReservationReleaser
import org.heatherwind.router.peer.DepartedProcessDetector
import org.heatherwind.router.peer.Membership
import org.heatherwind.router.peer.OwnerClient
import org.heatherwind.router.peer.OwnerService
import org.heatherwind.router.peer.PeerConnections
import org.heatherwind.router.peer.PeerGossip
import org.heatherwind.router.peer.PeerLedgerClient
import org.heatherwind.router.settings.RouterSettings
import org.heatherwind.router.shard.ShardRunner
import org.heatherwind.router.shard.ShardRunnerRegistry
import org.heatherwind.router.shard.SnapshotScheduler
import org.heatherwind.router.telemetry.RouterMetrics

private val logger = KotlinLogging.logger("router")

/** The result of a drain. */
public enum class DrainResult {
    /** Every request was completed, every settlement and every returned grant is in the log. */
    CLEAN,

    /** The drain deadline passed while requests, settlements or records were outstanding. */
    DEADLINE_PASSED,
}

/**
 * One router process: its state, its listeners and its background coroutines. A log service and an instance list passed
 * to the constructor replace those named in the settings.
 */
public class RouterProcess(
    private val settings: RouterSettings,
    private val clock: WallClock = WallClock.system,
    log: LogService? = null,
    instanceList: InstanceList? = null,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client: HttpClient = HttpClients.create()
    private val logService = log ?: HttpLogService(client, settings.logService)
    private val instances = instanceList ?: HttpInstanceList(client, settings.instanceList)
    private val drained = CompletableDeferred<DrainResult>()

    /** The incarnation of this process, which distinguishes it from its predecessors on the same instance. */
    public val incarnation: Incarnation = Incarnation.of(settings.instance, clock.now())

    private val listeners = RouterListeners(settings)
    private val connections = PeerConnections(settings.peerToken)
    private val configuration = ConfigurationReplica(logService)
    private val metrics = RouterMetrics()
    private val traces = RequestTraces(settings.instance.value)
    private lateinit var membership: Membership
    private lateinit var shards: ShardRunnerRegistry
    private lateinit var callers: CallerServer
    private lateinit var settlements: SettlementDispatcher

    /** The port of the callers' listener, known once the router was started. */
    public val callerPort: Int get() = listeners.callerPort

    /** The port of the peers' listener, known once the router was started. */
    public val peerPort: Int get() = listeners.peerPort

    /** The port of the operators' listener, known once the router was started. */
    public val operatorPort: Int get() = listeners.operatorPort

    /** Whether the router accepts requests: instance list and configuration are loaded, and it is not draining. */
    public val isReady: Boolean get() = membership.isLoaded && configuration.isLoaded && !callers.isDraining

    /** The version of the configuration in force on this router. */
    public val configurationVersion: Long get() = configuration.state.current.version

    /** The number of this router's records that are not yet confirmed to be in the log. */
    public val unconfirmedRecords: Int get() = shards.followedShards.values.sumOf { it.unconfirmedRecords }

    /** The number of settlements in the retry queue, which are not yet confirmed to be in the log. */
    public val settlementsWaiting: Int get() = settlements.queuedSettlements

    /** Starts the listeners and the background coroutines. */
    public suspend fun start() {
        val gossipReference = PeerGossipReference()
        shards = ShardRunnerRegistry(scope) { createRunner(it) }
        listeners.startPeers(OwnerService(shards, logService) { gossipReference.respond(it) })
        membership = Membership(ownListing(), instances)
        val abandonedReservations = AbandonedReservationReleaser(shards, membership, connections)
        val owners = OwnerClient(shards, settings.ledgerShards, membership, connections, abandonedReservations, clock)
        settlements = SettlementDispatcher(owners, clock)
        val gossip = PeerGossip(incarnation, membership, connections, configuration)
        val snapshots = SnapshotScheduler(shards, membership, configuration, settings.snapshotIntervalRecords)
        val departedProcesses = DepartedProcessDetector(shards, membership, gossip, clock)
        gossipReference.gossip = gossip
        callers = createCallerServer(owners)
        membership.refresh()
        listeners.startCallers { callers.registerRoutes(this) }
        listeners.startOperators { createOperatorServer().registerRoutes(this) }
        registerGauges()
        listOf(
            membership::run,
            configuration::run,
            abandonedReservations::run,
            settlements::run,
            gossip::run,
            departedProcesses::run,
            snapshots::run,
        )
            .forEach { loop -> scope.launch { loop() } }
        logger.info { "router: $incarnation is listening for callers on port $callerPort" }
    }

    /** Starts to drain the router, unless it already drains; [awaitDrained] returns the result. */
    public fun startDrain() {
        if (callers.isDraining) return
        callers.isDraining = true
        scope.launch { drained.complete(drain()) }
    }

    /** Waits until the drain has ended and returns its result. */
    public suspend fun awaitDrained(): DrainResult = drained.await()

    /** Stops all coroutines and closes all connections immediately, as a crash of the process would. */
    public fun terminate() {
        scope.cancel()
        connections.close()
        listeners.close()
        client.close()
    }

    private suspend fun drain(): DrainResult {
        val deadline = clock.now().plusMilliseconds(settings.drainDeadlineSeconds * MILLISECONDS_PER_SECOND)
        logger.info { "router: draining with ${callers.requestsInProgress} requests in progress" }
        while (!isIdle() && clock.now() < deadline) delay(DRAIN_POLL_INTERVAL_MILLISECONDS)
        shards.sendToAll(OwnerEvent.Drain)
        // Lets the shards handle the event before their state is checked.
        delay(DRAIN_POLL_INTERVAL_MILLISECONDS)
        while (!areShardsDrained() && clock.now() < deadline) delay(DRAIN_POLL_INTERVAL_MILLISECONDS)
        val result = if (isIdle() && areShardsDrained()) DrainResult.CLEAN else DrainResult.DEADLINE_PASSED
        logger.info { "router: drain ended, ${result.name.lowercase()}" }
        return result
    }

    private fun isIdle() = callers.requestsInProgress == 0 && settlements.queuedSettlements == 0

    private fun areShardsDrained() = shards.followedShards.values.all {
        it.unconfirmedRecords == 0 && it.state?.open.orEmpty().isEmpty()
    }

    private fun ownListing() = ListedInstance(
        instance = settings.instance,
        peerAddress = "${settings.peers.host}:$peerPort",
        dataCentre = settings.dataCentre,
    )

    private fun createRunner(shard: Int) = ShardRunner(
        shard = shard,
        holder = incarnation,
        log = logService,
        clock = clock,
        batchIntervalMilliseconds = settings.batchIntervalMilliseconds,
        fetchFromPeer = { PeerLedgerClient(membership, connections).fetch(shard) },
    )

    private fun createCallerServer(owners: OwnerClient): CallerServer {
        val context = EntryContext(
            entry = incarnation,
            identity = RequestIdentity(incarnation),
            owners = owners,
            settlements = settlements,
            slots = SlotAllocator(settings.instance, membership),
            metrics = metrics,
            traces = traces,
            clock = clock,
            maximumBodyBytes = settings.maximumBodyBytes,
            configuration = { configuration.state.current.configuration },
        )
        val chatHandler = ChatHandler(context, EngineClient(client))
        return CallerServer(context, chatHandler, PlainServiceHandler(context, PlainServiceClient(client))) { isReady }
    }

    private fun createOperatorServer() = OperatorServer(
        tokenDigest = settings.operatorTokenDigest,
        budgets = BudgetOperations(shards, settings.ledgerShards),
        configurations = ConfigurationOperations(configuration),
        traces = traces,
        status = { statusReport() },
        renderMetrics = metrics::render,
        startDrain = ::startDrain,
    )

    private fun statusReport() = RouterStatus.report(
        settings = settings,
        incarnation = incarnation,
        isReady = isReady,
        callers = callers,
        settlementsWaiting = settlements.queuedSettlements,
        configurationVersion = configuration.state.current.version,
        membership = membership,
        shards = shards,
    )

    private fun registerGauges() {
        metrics.registerGauge("heatherwind_requests_in_progress", "Requests not answered in full.") {
            callers.requestsInProgress.toDouble()
        }
        metrics.registerGauge("heatherwind_settlements_waiting", "Settlements that no home has taken.") {
            settlements.queuedSettlements.toDouble()
        }
        metrics.registerGauge("heatherwind_configuration_version", "Version of the configuration in force.") {
            configuration.state.current.version.toDouble()
        }
        metrics.registerGauge("heatherwind_unconfirmed_records", "Records not known to be in the log.") {
            unconfirmedRecords.toDouble()
        }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val DRAIN_POLL_INTERVAL_MILLISECONDS = 50L
    }
}

/** Breaks the cycle between the peer listener, which needs the gossip, and the gossip, which needs the peer port. */
private class PeerGossipReference {
    lateinit var gossip: PeerGossip

    fun respond(message: ExchangeMessage) = gossip.respond(message)
}
