package org.heatherwind.gateway

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.placement.ColdCeiling
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.retry.RetryThrottleLimits
import org.heatherwind.core.rollout.RolloutPolicy
import org.heatherwind.gateway.caller.CallerContext
import org.heatherwind.gateway.caller.CallerListener
import org.heatherwind.gateway.crash.CrashEvidence
import org.heatherwind.gateway.crash.CrashNotice
import org.heatherwind.gateway.crash.CrashNoticeReceipt
import org.heatherwind.gateway.crash.CrashNotifier
import org.heatherwind.gateway.crash.CrashProtection
import org.heatherwind.gateway.crash.TargetCrashDetector
import org.heatherwind.gateway.http.MemoryLimit
import org.heatherwind.gateway.http.SimpleHttpClient
import org.heatherwind.gateway.http.SimpleHttpListener
import org.heatherwind.gateway.http.SimpleResponse
import org.heatherwind.gateway.http.TrafficCounter
import org.heatherwind.gateway.overload.LoadMonitor
import org.heatherwind.gateway.overload.LoadShedding
import org.heatherwind.gateway.peer.CeilingWitness
import org.heatherwind.gateway.peer.CloseCeilingsRequest
import org.heatherwind.gateway.peer.CloseCeilingsResponse
import org.heatherwind.gateway.peer.PeerClient
import org.heatherwind.gateway.peer.PeerEndpoint
import org.heatherwind.gateway.peer.PeerServer
import org.heatherwind.gateway.peer.PlacementAnnouncements
import org.heatherwind.gateway.peer.QuotaTransferClient
import org.heatherwind.gateway.peer.QuotaTransferRequest
import org.heatherwind.gateway.peer.QuotaTransferResponse
import org.heatherwind.gateway.peer.StoreCeilingsRequest
import org.heatherwind.gateway.peer.StoreCeilingsResponse
import org.heatherwind.gateway.peer.WitnessClient
import org.heatherwind.gateway.protocol.CallerProtocol
import org.heatherwind.gateway.relay.RelayServer
import org.heatherwind.gateway.rollout.RolloutManager
import org.heatherwind.gateway.serve.RequestServer
import org.heatherwind.gateway.serve.RouterError
import org.heatherwind.gateway.serve.ServeContext
import org.heatherwind.gateway.serve.TargetClient
import org.heatherwind.gateway.serve.WaitingRooms
import org.heatherwind.gateway.state.BudgetLedgers
import org.heatherwind.gateway.state.BudgetManager
import org.heatherwind.gateway.state.CombinedSubscriber
import org.heatherwind.gateway.state.EvacuationSubscriber
import org.heatherwind.gateway.state.FleetBudgetView
import org.heatherwind.gateway.state.FleetDocuments
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.GrantUpdater
import org.heatherwind.gateway.state.PeerReports
import org.heatherwind.gateway.state.PlanSubscriber
import org.heatherwind.gateway.state.PollingPolicy
import org.heatherwind.gateway.state.PredecessorCharges
import org.heatherwind.gateway.state.PredecessorGrants
import org.heatherwind.gateway.state.ReportPublisher
import org.heatherwind.gateway.state.RetryThrottles
import org.heatherwind.gateway.state.StreamFollower
import org.heatherwind.gateway.state.StreamSubscriber
import org.heatherwind.gateway.state.TargetPaces
import org.heatherwind.gateway.state.TargetSubscriber
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StoreCallCounter
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.EventLoopDelay
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.heatherwind.gateway.telemetry.loggingFailures
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * One router process. All work runs on one event loop, so that state needs no locks.
 *
 * @param store client of the store that runs on the same event loop
 * @param startedAt when this process started; all predecessors on the instance had ended by then
 */
public class GatewayProcess(
    private val settings: GatewaySettings,
    private val group: EventLoopGroup,
    store: RecordStore,
    private val documents: FleetDocuments,
    private val protocol: CallerProtocol,
    private val startedAt: Timestamp = WallClock.system.now(),
    private val clock: MonotonicClock = MonotonicClock.system,
) {
    private val eventLoop: EventLoop = group.next()
    private val self = Incarnation.of(settings.instance, startedAt)
    private val metrics = GatewayMetrics()
    private val log = DecisionLog(clock, metrics)
    private val exceptionHandler = CoroutineExceptionHandler { _, failure ->
        log.process("A task failed.", "failure" to failure.stackTraceToString())
    }
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher() + exceptionHandler)
    private val eventLoopDelay = EventLoopDelay(log)
    private val paces: TargetPaces = TargetPaces(
        self = self.instance,
        log = log,
        routers = { peerReports.possibleRouters },
        isKnownToOthers = { peerReports.isKnownToOthers },
        coldCeilingOf = { coldCeilingOf(it) },
    )
    private val state: FleetState = FleetState(::drawReluctance) { paces.sharingOf(it) }
    private val storeCalls = StoreCallCounter(documents, metrics, log)
    private val store = storeCalls.counted(store)
    private val stopped = CompletableDeferred<Unit>()
    private val traffic = TrafficCounter()
    private val shedding = LoadShedding(clock, log, haveOthersRoom = { haveOthersRoom() })
    private val loadMonitor = LoadMonitor(clock, log, traffic, onWindow = shedding::adjust)
    private val client: TargetClient = TargetClient(
        eventLoop = eventLoop,
        clock = clock,
        log = log,
        metrics = metrics,
        relayAddresses = { peerReports.relayAddresses() },
        traffic = traffic,
        onConnected = loadMonitor::recordConnect,
    )
    private val relayServer = RelayServer(
        group = group,
        log = log,
        isOffered = { isRelayOffered },
        isTarget = { state.isTargetAddress(it) },
        onAnswer = { metrics.countTunnel(it.name.lowercase()) },
    )
    private val peerClient = PeerClient(SimpleHttpClient(eventLoop, clock), log)
    private val witnessClient = WitnessClient(peerClient)
    private val peerReports: PeerReports = PeerReports(
        self,
        clock,
        log,
        onReport = {
            crashes.receiveReport(it)
            rollouts.recordReport(it)
        },
        onStoreRestored = { scope.launch { ledgers.storeAgain(peerReports.liveCount()) } },
    )
    private val crashEvidence = CrashEvidence(self, clock, WallClock.system::now)
    private val crashes: CrashProtection = CrashProtection(
        evidence = crashEvidence,
        detector = TargetCrashDetector(scope, clock, client::isRefusing),
        notifier = CrashNotifier(scope, peerClient) { peerReports.peerAddresses() },
        scope = scope,
        clock = clock,
        log = log,
        metrics = metrics,
    )
    private val rollouts: RolloutManager = RolloutManager(
        self = self,
        store = this.store,
        documents = documents,
        state = state,
        policy = RolloutPolicy(settings.exposureLimit),
        clock = clock,
        wallClock = WallClock.system::now,
        log = log,
        metrics = metrics,
    )
    private val predecessorCharges = PredecessorCharges(self, startedAt, witnessClient, log)
    private val reports = ReportPublisher(
        self = self,
        store = this.store,
        clock = clock,
        log = log,
        peerReports = peerReports,
        predecessorCharges = predecessorCharges,
        wallClock = WallClock.system::now,
        isLeaving = { isDraining },
        peerAddress = settings.peerAddress,
        witnesses = witnessClient,
        crashes = crashEvidence::reports,
        rolloutReports = rollouts::reports,
        relayAddress = { settings.relayAddress.takeIf { isRelayOffered } },
        isOverloaded = { shedding.isOverloaded },
    )
    private val ceilingWitness = CeilingWitness(self)
    private val retries = RetryThrottles(
        RetryThrottleLimits(
            ratio = settings.retryRatio * RETRY_LIMIT_FRACTION,
            base = settings.retryBase * RETRY_LIMIT_FRACTION,
            windowMilliseconds = settings.retryWindowMilliseconds,
        ),
    ) { peerReports.liveCount() }
    private val bodyMemory = MemoryLimit(settings.memoryMegabytes * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR)
    private val responseMemory = MemoryLimit(Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_DIVISOR)
    private val ledgers: BudgetLedgers =
        BudgetLedgers(this.store, settings.partitionsPerStream, self, clock, log) { peerReports.isLargeFleet }
    private val customerOf = { id: CustomerId -> state.routes?.customerById(id) }
    private val fleetBudgets = FleetBudgetView(peerReports, customerOf)
    private val policy = GrantPolicy()
    private val budgets = BudgetManager(
        grants = GrantUpdater(self, fleetBudgets, peerReports, policy, clock, log, customerOf),
        fleetBudgets = fleetBudgets,
        ledgers = ledgers,
        scope = scope,
        clock = clock,
        log = log,
        policy = policy,
        customers = { state.routes?.plan?.customers.orEmpty() },
        customerOf = customerOf,
        reports = reports,
        peerReports = peerReports,
        quotaSource = QuotaTransferClient(peerClient, clock, log, peerReports::quotaSourceAddressesOf),
    )
    private val announcements =
        PlacementAnnouncements(group, clock, log, { peerReports.peerAddresses() }, { state.loadOf(it) })
    private val waitingRooms = WaitingRooms(clock)
    private val listener = CallerListener(
        group,
        CallerContext(
            scope = scope,
            clock = clock,
            limits = { state.limits },
            isDraining = { isDraining },
            keepsConnection = shedding::keepsConnection,
            bodyMemory = bodyMemory,
            handler = RequestServer(
                ServeContext(
                    state = state,
                    protocol = protocol,
                    budgets = budgets,
                    retries = retries,
                    client = client,
                    announcements = announcements,
                    rollouts = rollouts,
                    clock = clock,
                    log = log,
                    metrics = metrics,
                    crashes = crashes,
                    responseMemory = responseMemory,
                    liveRouterCount = { peerReports.liveCount() },
                    dataCentre = settings.dataCentre,
                    stopDeadline = { plannedStop.get()?.deadlineAt(clock.now()) },
                    overload = ::overloadError,
                    rooms = waitingRooms,
                ),
            ),
        ),
        traffic,
    )

    /** Entries of targets change constantly, so reads are spaced. */
    private val targetPolling = PollingPolicy(
        waitMilliseconds = 0,
        pauseMilliseconds = settings.targetDrainMilliseconds / TARGET_READS_PER_DRAIN,
    )

    /** The planned stop that was requested, or null. */
    private val plannedStop = AtomicReference<PlannedStop?>()

    private val isDraining: Boolean get() = plannedStop.get() != null

    /** Whether this router connects others to targets at present. */
    private val isRelayOffered: Boolean get() = !isDraining && !client.isCutOff && state.isReady

    /** Connections that callers opened since the start. */
    public val acceptedConnections: Long get() = listener.acceptedCount

    /** Opens the listeners and starts to follow the streams of the store. Returns the bound addresses. */
    public fun start(): BoundAddresses {
        val readinessAddress = SimpleHttpListener(group) { readiness() }.listen(settings.readinessAddress)
        val metricsAddress = settings.metricsAddress
            ?.let { SimpleHttpListener(group) { SimpleResponse(OK, metrics.render()) }.listen(it) }
        settings.peerAddress?.let { address ->
            PeerServer(group, peerEndpoints()).listen(address)
            announcements.listen(address)
        }
        settings.relayAddress?.let { relayServer.listen(it) }
        val callerAddress = listener.listen(settings.callerAddress)
        registerGauges()
        registerLoadGauges()
        follow(
            { PLAN_POLLING },
            documents.planPartition,
            CombinedSubscriber(
                listOf(
                    EvacuationSubscriber(state, documents, clock, log),
                    rollouts.orders,
                    PlanSubscriber(state, documents, log),
                ),
            ),
        )
        follow({ targetPolling }, documents.targetPartition, TargetSubscriber(state, documents, clock, log))
        follow(peerReports::pollingPolicy, ReportPublisher.partition, peerReports)
        reports.budgets = budgets
        scope.launch {
            reports.run(onFenced = {
                scope.launch {
                    PredecessorGrants(self, ledgers, predecessorCharges, log, peerReports::liveCount).closeAll()
                }
            })
        }
        scope.launch { reports.runWitnessUpdates() }
        scope.launch { client.runProbes { state.targetAddresses } }
        scope.launch { rollouts.runStatusReads() }
        scope.launch { rollouts.runDecisions() }
        scope.launch { loadMonitor.run() }
        scope.launch { runMaintenance() }
        log.process(
            "Started.",
            "incarnation" to self.value,
            "callers" to callerAddress.toString(),
            "heapBytes" to Runtime.getRuntime().maxMemory(),
        )
        return BoundAddresses(callerAddress, readinessAddress, metricsAddress)
    }

    /**
     * Returns whether callers should connect here: the plan and the targets are known, predecessors are fenced, and
     * the router is not overloaded.
     */
    public fun isReady(): Boolean =
        state.isReady && rollouts.isReady && reports.isFenced && !isDraining && !shedding.isLeavingRotation

    /** Ends all tasks at once, without a drain, and stops listening for callers. */
    public fun abort() {
        scope.cancel()
        listener.stopListening()
    }

    /** Logs that a reload was requested. Settings are read only at the start of the process. */
    public fun reload() {
        log.process("Reload requested; changed settings take effect at the next start.")
    }

    /** Stops accepting callers, waits for in-flight requests up to the drain deadline, and completes [awaitStopped]. */
    public fun drain() {
        // Set at once, since requests may be admitted before the task that follows runs.
        val requestedAt = clock.now()
        val stop = PlannedStop.of(requestedAt, settings.drainMilliseconds)
        if (!plannedStop.compareAndSet(null, stop)) return
        scope.launch {
            log.process("Draining.", "open" to listener.busyCount)
            delay(stop.removedAt.millisecondsSince(requestedAt))
            listener.stopListening()
            while (isNeeded() && clock.now() < stop.endsAt) {
                listener.closeIdle(clock.now())
                delay(DRAIN_POLL_INTERVAL_MILLISECONDS)
            }
            endRequests()
            listener.closeIdle(clock.now())
            log.loggingFailures("stop") {
                withTimeoutOrNull(RETURN_TIMEOUT_MILLISECONDS) { budgets.returnAll() }
            }
            log.loggingFailures("stop") {
                withTimeoutOrNull(FINAL_REPORT_TIMEOUT_MILLISECONDS) { reports.publishOnce() }
            }
            log.process("Stopped.", "open" to listener.busyCount)
            stopped.complete(Unit)
        }
    }

    /** Whether callers of this router, or of others through it, may still wait for answers. */
    private fun isNeeded(): Boolean = listener.neededCount(clock.now()) > 0 || relayServer.tunnelCount > 0

    /** Ends the requests in progress and waits until their answers are sent. */
    private suspend fun endRequests() {
        if (listener.busyCount == 0) return
        log.process("Ending requests in progress.", "open" to listener.busyCount)
        listener.endRequests()
        withTimeoutOrNull(FINAL_ANSWERS_TIMEOUT_MILLISECONDS) {
            while (listener.busyCount > 0) delay(FINAL_ANSWERS_POLL_INTERVAL_MILLISECONDS)
        }
    }

    /** Waits until a drain has ended. */
    public suspend fun awaitStopped(): Unit = stopped.await()

    private fun follow(pollingPolicy: () -> PollingPolicy, partition: StreamPartition, subscriber: StreamSubscriber) {
        val follower = StreamFollower(store, partition, pollingPolicy, clock, log, subscriber)
        scope.launch { follower.run() }
    }

    private suspend fun runMaintenance() {
        while (currentCoroutineContext().isActive) {
            eventLoopDelay.schedule(clock.now().plusMilliseconds(MAINTENANCE_INTERVAL_MILLISECONDS))
            delay(MAINTENANCE_INTERVAL_MILLISECONDS)
            eventLoopDelay.run(clock.now())
            log.loggingFailures("maintenance") {
                budgets.rebalance()
                storeCalls.logWhenDue(clock.now(), peerReports.liveCount())
                client.closeUnused()
            }
        }
    }

    private fun peerEndpoints(): List<PeerEndpoint<*, *>> = listOf(
        PeerEndpoint(
            QuotaTransferClient.PATH,
            QuotaTransferRequest.serializer(),
            QuotaTransferResponse.serializer(),
        ) { QuotaTransferResponse(budgets.transferQuota(it)) },
        PeerEndpoint(
            WitnessClient.STORE_PATH,
            StoreCeilingsRequest.serializer(),
            StoreCeilingsResponse.serializer(),
            ceilingWitness::storeCeilings,
        ),
        PeerEndpoint(
            WitnessClient.CLOSE_PATH,
            CloseCeilingsRequest.serializer(),
            CloseCeilingsResponse.serializer(),
            ceilingWitness::closeCeilings,
        ),
        PeerEndpoint(
            CrashNotifier.PATH,
            CrashNotice.serializer(),
            CrashNoticeReceipt.serializer(),
            crashes::receiveNotice,
        ),
    )

    private fun readiness(): SimpleResponse {
        val isReady = isReady()
        shedding.recordReadiness(isReady)
        return SimpleResponse(if (isReady) OK else UNAVAILABLE, ByteArray(0))
    }

    private fun overloadError(): RouterError? = if (shedding.admits()) {
        null
    } else {
        RouterError(ResultCode.ROUTER_OVERLOADED, shedding.retryAfterMilliseconds)
    }

    /** The callers of a router that is cut off have no better place, since its relays carry the work anyway. */
    private fun haveOthersRoom(): Boolean =
        !client.isCutOff && peerReports.overloadedCount() * OVERLOADED_DIVISOR < peerReports.liveCount() - 1

    /** The routers of a small fleet know of each other's long prompts, so they need not spread at random. */
    private fun drawReluctance(): Double = if (peerReports.isLargeFleet) Random.nextDouble() else 0.0

    private fun coldCeilingOf(service: ServiceId): ColdCeiling? = state.routes?.plan?.services?.get(service)
        ?.coldRequestsPerSecond?.let { ColdCeiling(it, settings.coldOverage, settings.coldSlack) }

    private fun registerLoadGauges() {
        metrics.gauge("heatherwind_admitted_share", "Share of the callers' requests that this router serves.") {
            shedding.admittedShare
        }
        metrics.gauge("heatherwind_processor_delay_seconds", "Shortest delay of a task in the last window.") {
            (loadMonitor.window.processorMilliseconds ?: 0) / MILLISECONDS_PER_SECOND
        }
        metrics.gauge("heatherwind_link_delay_seconds", "Shortest time to connect beyond the usual, last window.") {
            (loadMonitor.window.linkMilliseconds ?: 0) / MILLISECONDS_PER_SECOND
        }
        metrics.gauge("heatherwind_received_bytes", "Bytes received from callers and targets since the start.") {
            traffic.receivedBytes.toDouble()
        }
        metrics.gauge("heatherwind_sent_bytes", "Bytes sent to callers and targets since the start.") {
            traffic.sentBytes.toDouble()
        }
    }

    private fun registerGauges() {
        metrics.gaugeByService("heatherwind_paced_targets", "Targets whose pace is limited at present, by service.") {
            state.limitedTargets
        }
        metrics.gaugeByService(
            "heatherwind_targets_passed_over",
            "Times since the start that a target was passed over for its pace, by service.",
        ) { paces.passedOverCounts }
        metrics.gauge("heatherwind_caller_connections", "Open connections of callers.") {
            listener.connectionCount.toDouble()
        }
        metrics.gauge("heatherwind_target_connections_opened", "Connections opened to targets since the start.") {
            client.openedCount.toDouble()
        }
        metrics.gauge("heatherwind_cut_off", "Whether no target can be reached directly (0 or 1).") {
            if (client.isCutOff) 1.0 else 0.0
        }
        metrics.gauge("heatherwind_open_tunnels", "Connections of other routers to targets through this one.") {
            relayServer.tunnelCount.toDouble()
        }
        metrics.gauge("heatherwind_admission_waiting", "Requests that wait at the router for a target.") {
            waitingRooms.size.toDouble()
        }
        metrics.gauge("heatherwind_plan_version", "Version of the routing plan in force.") {
            (state.routes?.plan?.version ?: 0).toDouble()
        }
        metrics.gauge("heatherwind_evacuated_data_centres", "Data centres whose targets get no new requests.") {
            state.evacuations.dataCentres.size.toDouble()
        }
        metrics.gauge("heatherwind_evacuated_services", "Services without a target outside evacuated data centres.") {
            state.evacuatedServices().size.toDouble()
        }
        metrics.gauge("heatherwind_blocked_suspects", "Prompt parts and requests that are refused for crashes.") {
            crashes.blockedCount.toDouble()
        }
        metrics.gauge("heatherwind_event_loop_delay_seconds", "Longest delay of a periodic task since the start.") {
            eventLoopDelay.longestMilliseconds / MILLISECONDS_PER_SECOND
        }
        metrics.gauge("heatherwind_request_body_bytes", "Bytes of request bodies held.") {
            bodyMemory.heldBytes.toDouble()
        }
        metrics.gauge("heatherwind_response_buffer_bytes", "Bytes held for responses of targets.") {
            responseMemory.heldBytes.toDouble()
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val BYTES_PER_MEGABYTE = 1_048_576L

        /** Request bodies may use one eighth of the process's memory. */
        const val BODY_MEMORY_DIVISOR = 8

        /** Buffered responses of targets may use one eighth of the heap. */
        const val RESPONSE_MEMORY_DIVISOR = 8

        /** A plan change must take effect within 2 s. Changes are rare, so each read waits for one. */
        val PLAN_POLLING = PollingPolicy(waitMilliseconds = 800, pauseMilliseconds = 100, isSkippingReplaced = true)

        /** Leaves several reads within the time in which a draining target may still get requests. */
        const val TARGET_READS_PER_DRAIN = 5L
        const val MAINTENANCE_INTERVAL_MILLISECONDS = 250L

        const val DRAIN_POLL_INTERVAL_MILLISECONDS = 50L

        const val FINAL_ANSWERS_TIMEOUT_MILLISECONDS = 150L
        const val FINAL_ANSWERS_POLL_INTERVAL_MILLISECONDS = 10L

        /** Covers the return of grants after several conflicts. */
        const val RETURN_TIMEOUT_MILLISECONDS = 350L

        /** Together with the times before, below the reserve at the end of a planned stop. */
        const val FINAL_REPORT_TIMEOUT_MILLISECONDS = 250L

        /** Callers are led elsewhere while fewer than this part of the other routers are overloaded. */
        const val OVERLOADED_DIVISOR = 4

        /** Fraction of the fleet's retry limit in use; the rest allows for differing counts of live routers. */
        const val RETRY_LIMIT_FRACTION = 0.8
    }
}
