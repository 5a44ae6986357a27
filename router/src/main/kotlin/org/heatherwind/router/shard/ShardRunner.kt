package org.heatherwind.router.shard

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.clients.log.LogService
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.ledger.LedgerRecord
import org.heatherwind.core.ledger.LedgerSnapshot
import org.heatherwind.core.ledger.SnapshotTaken
import org.heatherwind.core.ledger.toSnapshot
import org.heatherwind.core.owner.OwnerEffect
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.OwnerSettings
import org.heatherwind.core.owner.OwnerState
import org.heatherwind.core.owner.ReserveResponse
import org.heatherwind.core.owner.ShardOwner
import org.heatherwind.core.result.ResultCode

private val logger = KotlinLogging.logger("shard")

/**
 * Runs the shard owner's decisions for one ledger shard. One coroutine owns the state; the reader, the appender, entry
 * routers and timers send it messages.
 */
public class ShardRunner(
    private val shard: Int,
    private val holder: Incarnation,
    log: LogService,
    private val clock: WallClock,
    batchIntervalMilliseconds: Long,
    fetchFromPeer: suspend () -> LedgerSnapshot?,
    settings: OwnerSettings = OwnerSettings(),
) {
    private val stream = LogStreamNames.ledger(shard)
    private val owner = ShardOwner(settings)
    private val inbox = Channel<ShardMessage>(INBOX_CAPACITY_MESSAGES)
    private val appender = ShardAppender(holder, stream, log, batchIntervalMilliseconds)
    private val reader = ShardReader(stream, log, fetchFromPeer)
    private val pendingReservations = HashMap<ReservationId, CompletableDeferred<ReserveResponse>>()
    private val pendingSettlements = HashMap<ReservationId, MutableList<CompletableDeferred<Boolean>>>()
    private val loaded = CompletableDeferred<Unit>()

    /** The stream must be applied through this offset before the shard counts as loaded. */
    private var requiredOffset = Long.MAX_VALUE

    /** The state after the last event, or null until an initial state was loaded. */
    @Volatile
    public var state: OwnerState? = null
        private set

    /** The number of log records, each with one batch, since the newest snapshot that was read from the stream. */
    public val recordsSinceSnapshot: Long get() = (state?.ledger?.through ?: 0) - newestSnapshotOffset

    @Volatile
    private var newestSnapshotOffset = 0L

    /** Whether the last append to the log failed. */
    public val isLogFailing: Boolean get() = appender.isFailing

    /** The number of records that are not yet confirmed to be in the log. */
    public val unconfirmedRecords: Int get() = appender.unconfirmedRecords

    /** Starts the coroutines of this shard in [scope]. */
    public fun start(scope: CoroutineScope) {
        scope.launch { follow() }
        scope.launch { appender.run { inbox.send(ShardMessage.AppendFailed) } }
        scope.launch { handleMessages() }
        scope.launch { sendTicks() }
    }

    /** Waits until a state was loaded and the stream was applied to it through its required offset. */
    public suspend fun awaitLoaded(): Unit = loaded.await()

    /** Reserves tokens and returns the response, at the latest at the event's `waitUntil`. */
    public suspend fun reserve(event: OwnerEvent.Reserve): ReserveResponse {
        val waitMilliseconds = event.waitUntil.millisecondsSince(clock.now())
        withTimeoutOrNull(waitMilliseconds) { awaitLoaded() }
            ?: return ReserveResponse.Refused(ResultCode.ROUTER_NOT_READY)
        val response = CompletableDeferred<ReserveResponse>()
        inbox.send(ShardMessage.Reserve(event, response))
        return response.await()
    }

    /**
     * Settles a request. Returns true when the settlement was read back from the log, and false when an append failed
     * while the settlement was queued here; the settlement stays queued.
     */
    public suspend fun settle(event: OwnerEvent.Settle): Boolean {
        awaitLoaded()
        val response = CompletableDeferred<Boolean>()
        inbox.send(ShardMessage.Settle(event, response))
        return response.await()
    }

    /** Sends [event] without waiting for its effects. */
    public suspend fun send(event: OwnerEvent) {
        inbox.send(ShardMessage.Notify(event))
    }

    /** Waits until a state was loaded, then queues [record] for the next append. */
    public suspend fun append(record: LedgerRecord) {
        awaitLoaded()
        appender.enqueue(record)
    }

    /** Queues a snapshot of the current state for the next append. */
    public suspend fun appendSnapshot() {
        state?.let { append(SnapshotTaken(it.ledger.toSnapshot())) }
    }

    private suspend fun follow() {
        while (true) {
            val initial = reader.loadInitialState()
            logger.info { "shard: loaded shard $shard through offset ${initial.ledger.through}" }
            inbox.send(ShardMessage.Loaded(initial))
            reader.follow(initial.ledger.through) { offset, batch ->
                inbox.send(ShardMessage.Notify(OwnerEvent.BatchRead(offset, batch)))
                if (batch.records.any { it is SnapshotTaken }) newestSnapshotOffset = offset
                if (batch.writer == holder) appender.readBackSequence = maxOf(appender.readBackSequence, batch.sequence)
            }
            logger.warn { "shard: reader of shard $shard fell behind the log's retention; reloading its state" }
        }
    }

    private suspend fun sendTicks() {
        awaitLoaded()
        while (true) {
            delay(TICK_INTERVAL_MILLISECONDS)
            inbox.send(ShardMessage.Notify(OwnerEvent.Tick))
        }
    }

    private suspend fun handleMessages() {
        for (message in inbox) {
            when (message) {
                is ShardMessage.Loaded -> load(message.initial)
                is ShardMessage.Reserve -> handleReserve(message)
                is ShardMessage.Settle -> handleSettle(message)
                is ShardMessage.Notify -> decide(message.event)
                is ShardMessage.AppendFailed -> completeSettlementsAsUnrecorded()
            }
        }
    }

    private fun load(initial: InitialLedger) {
        requiredOffset = initial.requiredOffset
        if (state == null) {
            state = OwnerState(holder, initial.ledger)
        } else {
            decide(OwnerEvent.LedgerReplaced(initial.ledger))
        }
        completeLoadWhenCurrent()
    }

    private fun handleReserve(message: ShardMessage.Reserve) {
        if (message.event.reservation in pendingReservations) {
            message.response.complete(ReserveResponse.Refused(ResultCode.REQUEST_IN_PROGRESS))
        } else {
            pendingReservations[message.event.reservation] = message.response
            decide(message.event)
        }
    }

    private fun handleSettle(message: ShardMessage.Settle) {
        pendingSettlements.getOrPut(message.event.reservation) { mutableListOf() } += message.response
        decide(message.event)
        if (appender.isFailing) completeSettlementsAsUnrecorded()
    }

    private fun completeSettlementsAsUnrecorded() {
        pendingSettlements.values.flatten().forEach { it.complete(false) }
        pendingSettlements.clear()
    }

    private fun decide(event: OwnerEvent) {
        val current = state ?: return
        val decision = owner.decide(current, event, clock.now())
        state = decision.state
        completeLoadWhenCurrent()
        decision.effects.forEach { execute(it) }
    }

    private fun completeLoadWhenCurrent() {
        val through = state?.ledger?.through ?: return
        if (through >= requiredOffset) loaded.complete(Unit)
    }

    private fun execute(effect: OwnerEffect) {
        when (effect) {
            is OwnerEffect.Append -> appender.enqueue(effect.record)

            is OwnerEffect.RespondToReserve -> pendingReservations.remove(effect.reservation)?.complete(effect.response)

            is OwnerEffect.ConfirmSettlement ->
                pendingSettlements.remove(effect.reservation)?.forEach { it.complete(true) }
        }
    }

    private companion object {
        const val INBOX_CAPACITY_MESSAGES = 10_000
        const val TICK_INTERVAL_MILLISECONDS = 50L
    }
}
