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
import org.heatherwind.router.configuration.ConfigurationKeeper
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

/** How a stop went. */
public enum class DrainResult {
    /** Every request was answered, every settlement and grant is in the log. */
    CLEAN,

    /** The drain deadline passed with work left. */
    DEADLINE_PASSED,
}

/**
 * One router: its state, its listeners and the coroutines between them. The log service and the instance list can be
 * given in place of those that the settings name.
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
    private val list = instanceList ?: HttpInstanceList(client, settings.instanceList)
    private val drained = CompletableDeferred<DrainResult>()

    /** This process among all that ever ran on its instance. */
    public val incarnation: Incarnation = Incarnation.of(settings.instance, clock.now())

    private val listeners = RouterListeners(settings)
    private val connections = PeerConnections(settings.peerToken)
    private val configuration = ConfigurationKeeper(logService)
    private val metrics = RouterMetrics()
    private val traces = RequestTraces(settings.instance.value)
    private lateinit var membership: Membership
    private lateinit var shards: ShardRunnerRegistry
    private lateinit var callers: CallerServer
    private lateinit var settlements: SettlementDispatcher

    /** The port on which callers are served. */
    public val callerPort: Int get() = listeners.callerPort

    /** The port on which peers are served. */
    public val peerPort: Int get() = listeners.peerPort

    /** The port on which operators are served. */
    public val operatorPort: Int get() = listeners.operatorPort

    /** Whether the router takes requests. */
    public val isReady: Boolean get() = membership.isLoaded && configuration.isLoaded && !callers.isDraining

    /** Version of the configuration in force here. */
    public val configurationVersion: Long get() = configuration.state.current.version

    /** Records of this router that are not known to be in the log. */
    public val unconfirmedRecords: Int get() = shards.followedShards.values.sumOf { it.unconfirmedRecords }

    /** Settlements that no home has taken. */
    public val settlementsWaiting: Int get() = settlements.waiting

    /** Starts listeners and coroutines. */
    public suspend fun start() {
        val gossipReference = PeerGossipReference()
        shards = ShardRunnerRegistry(scope) { createRunner(it) }
        listeners.startPeers(OwnerService(shards, logService) { gossipReference.respond(it) })
        membership = Membership(ownEntry(), list)
        val abandoned = AbandonedReservationReleaser(shards, membership, connections)
        val owners = OwnerClient(shards, settings.ledgerShards, membership, connections, abandoned, clock)
        settlements = SettlementDispatcher(owners, clock)
        val gossip = PeerGossip(incarnation, membership, connections, configuration)
        val snapshots = SnapshotScheduler(shards, membership, configuration, settings.snapshotIntervalRecords)
        val departedProcesses = DepartedProcessDetector(shards, membership, gossip, clock)
        gossipReference.gossip = gossip
        callers = createCallers(owners)
        membership.refresh()
        listeners.startCallers { callers.routes(this) }
        listeners.startOperators { createOperators().routes(this) }
        registerGauges()
        listOf(
            membership::run,
            configuration::run,
            abandoned::run,
            settlements::run,
            gossip::run,
            departedProcesses::run,
            snapshots::run,
        )
            .forEach { loop -> scope.launch { loop() } }
        logger.info { "router: $incarnation serves callers on port $callerPort" }
    }

    /** Begins a stop; [awaitDrained] tells how it went. */
    public fun startDrain() {
        if (callers.isDraining) return
        callers.isDraining = true
        scope.launch { drained.complete(drain()) }
    }

    /** Waits until a stop has ended. */
    public suspend fun awaitDrained(): DrainResult = drained.await()

    /** Ends everything at once, as the death of the process would. */
    public fun kill() {
        scope.cancel()
        connections.close()
        listeners.close()
        client.close()
    }

    private suspend fun drain(): DrainResult {
        val deadline = clock.now().plusMilliseconds(settings.drainDeadlineSeconds * MILLISECONDS_PER_SECOND)
        logger.info { "router: stopping; ${callers.requestsInProgress} requests are in progress" }
        while (!isIdle() && clock.now() < deadline) delay(DRAIN_POLL_MILLISECONDS)
        shards.sendToAll(OwnerEvent.Drain)
        delay(DRAIN_POLL_MILLISECONDS)
        while (!isSettled() && clock.now() < deadline) delay(DRAIN_POLL_MILLISECONDS)
        val result = if (isIdle() && isSettled()) DrainResult.CLEAN else DrainResult.DEADLINE_PASSED
        logger.info { "router: stopped, ${result.name.lowercase()}" }
        return result
    }

    private fun isIdle() = callers.requestsInProgress == 0 && settlements.waiting == 0

    private fun isSettled() = shards.followedShards.values.all {
        it.unconfirmedRecords == 0 && it.state?.open.orEmpty().isEmpty()
    }

    private fun ownEntry() = ListedInstance(
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

    private fun createCallers(owners: OwnerClient): CallerServer {
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

    private fun createOperators() = OperatorServer(
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
        settlementsWaiting = settlements.waiting,
        configurationVersion = configuration.state.current.version,
        membership = membership,
        shards = shards,
    )

    private fun registerGauges() {
        metrics.gauge("heatherwind_requests_in_progress", "Requests not answered in full.") {
            callers.requestsInProgress.toDouble()
        }
        metrics.gauge("heatherwind_settlements_waiting", "Settlements that no home has taken.") {
            settlements.waiting.toDouble()
        }
        metrics.gauge("heatherwind_configuration_version", "Version of the configuration in force.") {
            configuration.state.current.version.toDouble()
        }
        metrics.gauge("heatherwind_unconfirmed_records", "Records not known to be in the log.") {
            unconfirmedRecords.toDouble()
        }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val DRAIN_POLL_MILLISECONDS = 50L
    }
}

private class PeerGossipReference {
    lateinit var gossip: PeerGossip

    fun respond(message: ExchangeMessage) = gossip.respond(message)
}
