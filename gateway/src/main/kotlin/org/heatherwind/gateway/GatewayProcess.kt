package org.heatherwind.gateway

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.escrow.GrantPolicy
import org.heatherwind.core.identity.Clock
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.SteadyClock
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.retry.RetryBounds
import org.heatherwind.gateway.caller.BodyMemory
import org.heatherwind.gateway.caller.CallerContext
import org.heatherwind.gateway.caller.CallerListener
import org.heatherwind.gateway.http.HttpCaller
import org.heatherwind.gateway.http.ShortAnswerListener
import org.heatherwind.gateway.http.StatusText
import org.heatherwind.gateway.peer.CeilingAnswer
import org.heatherwind.gateway.peer.CeilingNotice
import org.heatherwind.gateway.peer.CeilingQuestion
import org.heatherwind.gateway.peer.CeilingReceipt
import org.heatherwind.gateway.peer.CeilingWitness
import org.heatherwind.gateway.peer.LoanAnswer
import org.heatherwind.gateway.peer.LoanClient
import org.heatherwind.gateway.peer.LoanRequest
import org.heatherwind.gateway.peer.PeerCall
import org.heatherwind.gateway.peer.PeerClient
import org.heatherwind.gateway.peer.PeerServer
import org.heatherwind.gateway.peer.PlacementAnnouncements
import org.heatherwind.gateway.peer.WitnessClient
import org.heatherwind.gateway.protocol.CallerProtocol
import org.heatherwind.gateway.serve.RequestServer
import org.heatherwind.gateway.serve.ServeContext
import org.heatherwind.gateway.serve.TargetClient
import org.heatherwind.gateway.state.BudgetKeeper
import org.heatherwind.gateway.state.BudgetLedgers
import org.heatherwind.gateway.state.BudgetOutlook
import org.heatherwind.gateway.state.EarlierProcesses
import org.heatherwind.gateway.state.FleetDocuments
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.FollowPace
import org.heatherwind.gateway.state.GrantChanger
import org.heatherwind.gateway.state.KnownReports
import org.heatherwind.gateway.state.PlanSubscriber
import org.heatherwind.gateway.state.PredecessorGrants
import org.heatherwind.gateway.state.RetryKeeper
import org.heatherwind.gateway.state.RouterReports
import org.heatherwind.gateway.state.StreamFollower
import org.heatherwind.gateway.state.StreamSubscriber
import org.heatherwind.gateway.state.TargetSubscriber
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics

/**
 * One router process. Everything runs on one event loop, so that state needs no locks.
 *
 * @param store reaches the store on the same event loop
 * @param startedAt when this process began; no earlier process of the instance ran after it
 */
public class GatewayProcess(
    private val settings: GatewaySettings,
    private val group: EventLoopGroup,
    private val store: RecordStore,
    private val documents: FleetDocuments,
    private val protocol: CallerProtocol,
    private val startedAt: Timestamp = Clock.system.now(),
    private val clock: SteadyClock = SteadyClock.system,
) {
    private val eventLoop: EventLoop = group.next()
    private val self = Incarnation.of(settings.instance, startedAt)
    private val metrics = GatewayMetrics()
    private val log = DecisionLog(clock, metrics)
    private val failures = CoroutineExceptionHandler { _, failure ->
        log.process("A task failed.", "failure" to failure.stackTraceToString())
    }
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher() + failures)
    private val state = FleetState()
    private val stopped = CompletableDeferred<Unit>()
    private val client = TargetClient(eventLoop, clock)
    private val peerClient = PeerClient(HttpCaller(eventLoop, clock), log)
    private val witnesses = WitnessClient(peerClient)
    private val known = KnownReports(self, clock, log)
    private val earlier = EarlierProcesses(self, startedAt, witnesses, log)
    private val reports = RouterReports(
        self = self,
        store = store,
        clock = clock,
        log = log,
        known = known,
        earlier = earlier,
        timeOfDay = Clock.system::now,
        isLeaving = { isDraining },
        peerAddress = settings.peerAddress,
        witnesses = witnesses,
    )
    private val witness = CeilingWitness(self)
    private val retries = RetryKeeper(
        RetryBounds(
            ratio = settings.retryRatio * RETRY_MARGIN,
            base = settings.retryBase * RETRY_MARGIN,
            windowMilliseconds = settings.retryWindowMilliseconds,
        ),
    ) { known.liveCount() }
    private val bodyMemory = BodyMemory(settings.memoryMegabytes * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR)
    private val ledgers = BudgetLedgers(store, settings.budgetPartitions)
    private val customerOf = { id: CustomerId -> state.routes?.customerNamed(id) }
    private val outlook = BudgetOutlook(known, customerOf)
    private val policy = GrantPolicy()
    private val budgets = BudgetKeeper(
        grants = GrantChanger(self, outlook, known, policy, clock, log, customerOf),
        outlook = outlook,
        ledgers = ledgers,
        scope = scope,
        clock = clock,
        log = log,
        policy = policy,
        customers = { state.routes?.plan?.customers.orEmpty() },
        customerOf = customerOf,
        reports = reports,
        known = known,
        lender = LoanClient(peerClient, log) { customer -> known.lendersOf(customer) },
    )
    private val announcements = PlacementAnnouncements(group, clock, log, { known.peers() }, { state.loadOf(it) })
    private val listener = CallerListener(
        group,
        CallerContext(
            scope = scope,
            clock = clock,
            limits = { state.limits },
            isDraining = { isDraining },
            bodyMemory = bodyMemory,
            handler = RequestServer(
                ServeContext(
                    state = state,
                    protocol = protocol,
                    budgets = budgets,
                    retries = retries,
                    client = client,
                    announcements = announcements,
                    clock = clock,
                    log = log,
                    metrics = metrics,
                    routers = { known.liveCount() },
                ),
            ),
        ),
    )

    @Volatile
    private var isDraining = false

    /** Opens the listeners and begins to follow the store. */
    public fun start() {
        ShortAnswerListener(group) { readiness() }.listen(settings.readinessAddress)
        settings.metricsAddress?.let { ShortAnswerListener(group) { StatusText(OK, metrics.render()) }.listen(it) }
        settings.peerAddress?.let { address ->
            PeerServer(group, peerCalls()).listen(address)
            announcements.listen(address)
        }
        listener.listen(settings.callerAddress)
        registerGauges()
        follow({ PLAN_PACE }, documents.planPartition, PlanSubscriber(state, documents, log))
        follow({ TARGET_PACE }, documents.targetPartition, TargetSubscriber(state, documents, clock, log))
        follow(known::followPace, RouterReports.partition, known)
        reports.budgets = budgets
        scope.launch {
            reports.run(onEstablished = { scope.launch { PredecessorGrants(self, ledgers, earlier, log).closeAll() } })
        }
        scope.launch { reports.runWitnessed() }
        scope.launch { tend() }
        log.process("Started.", "incarnation" to self.value, "callers" to settings.callerAddress.toString())
    }

    /** Notes that the settings changed. Every setting in use is fixed for the life of the process. */
    public fun reload() {
        log.process("Settings were announced as changed; they are read at the next start.")
    }

    /** Takes no new callers, ends open requests, and completes [awaitStopped]. */
    public fun drain() {
        scope.launch {
            if (isDraining) return@launch
            isDraining = true
            log.process("Draining.", "open" to listener.busyCount)
            val deadline = clock.now().plusMilliseconds(settings.drainMilliseconds - DRAIN_RESERVE_MILLISECONDS)
            delay(minOf(ROTATION_MILLISECONDS, settings.drainMilliseconds / 2))
            listener.stopListening()
            while (listener.busyCount > 0 && clock.now() < deadline) {
                listener.closeIdle()
                delay(DRAIN_POLL_MILLISECONDS)
            }
            listener.closeIdle()
            withTimeoutOrNull(LAST_WRITES_MILLISECONDS) {
                budgets.returnAll()
                reports.publishOnce()
            }
            log.process("Stopped.", "open" to listener.busyCount)
            stopped.complete(Unit)
        }
    }

    /** Waits for the end of a drain. */
    public suspend fun awaitStopped(): Unit = stopped.await()

    private fun follow(pace: () -> FollowPace, partition: StreamPartition, subscriber: StreamSubscriber) {
        val follower = StreamFollower(store, partition, pace, clock, log, subscriber)
        scope.launch { follower.run() }
    }

    private suspend fun tend() {
        while (currentCoroutineContext().isActive) {
            delay(TEND_MILLISECONDS)
            budgets.tend()
            client.closeUnused()
        }
    }

    private fun peerCalls(): List<PeerCall<*, *>> = listOf(
        PeerCall(LoanClient.PATH, LoanRequest.serializer(), LoanAnswer.serializer()) { LoanAnswer(budgets.lend(it)) },
        PeerCall(WitnessClient.KEEP, CeilingNotice.serializer(), CeilingReceipt.serializer(), witness::keep),
        PeerCall(WitnessClient.CLOSE, CeilingQuestion.serializer(), CeilingAnswer.serializer(), witness::close),
    )

    private fun readiness(): StatusText {
        val isReady = state.isReady && reports.isEstablished && !isDraining
        return StatusText(if (isReady) OK else UNAVAILABLE, ByteArray(0))
    }

    private fun registerGauges() {
        metrics.gauge("heatherwind_caller_connections", "Open connections of callers.") {
            listener.connectionCount.toDouble()
        }
        metrics.gauge("heatherwind_target_connections_opened", "Connections opened to targets since the start.") {
            client.openedCount.toDouble()
        }
        metrics.gauge("heatherwind_plan_version", "Version of the routing plan in force.") {
            (state.routes?.plan?.version ?: 0).toDouble()
        }
        metrics.gauge("heatherwind_request_body_bytes", "Bytes of request bodies held.") {
            bodyMemory.heldBytes.toDouble()
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val BYTES_PER_MEGABYTE = 1_048_576L

        /** Bodies may fill an eighth of the process's memory. */
        const val BODY_MEMORY_DIVISOR = 8

        /** A change must be in force within two seconds; changes are rare, so each read waits for one. */
        val PLAN_PACE = FollowPace(waitMilliseconds = 800, pauseMilliseconds = 100, isSkipping = true)

        /** A leaving target gets no work after two seconds; entries change all the time, so reads are spaced. */
        val TARGET_PACE = FollowPace(waitMilliseconds = 0, pauseMilliseconds = 400)
        const val TEND_MILLISECONDS = 250L

        /** The balancer takes a router out after two missed checks, a second apart. */
        const val ROTATION_MILLISECONDS = 2_500L
        const val DRAIN_POLL_MILLISECONDS = 50L

        /** Kept back from the drain for the last writes and the end of the process. */
        const val DRAIN_RESERVE_MILLISECONDS = 900L
        const val LAST_WRITES_MILLISECONDS = 500L

        /** Part of the fleet's allowance that is used; the rest covers routers that count differently for a while. */
        const val RETRY_MARGIN = 0.8
    }
}
