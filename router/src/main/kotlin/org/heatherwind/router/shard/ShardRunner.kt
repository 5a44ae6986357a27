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
import org.heatherwind.core.owner.ReserveAnswer
import org.heatherwind.core.owner.ShardOwner
import org.heatherwind.core.result.ResultCode

private val logger = KotlinLogging.logger("shard")

/**
 * Runs the home's decisions for one ledger shard: one coroutine owns the state, and readers, appenders, entries and
 * timers send it events.
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
    private val stream = ShardStreams.ledger(shard)
    private val owner = ShardOwner(settings)
    private val inbox = Channel<ShardMessage>(INBOX_CAPACITY)
    private val appender = ShardAppender(holder, stream, log, batchIntervalMilliseconds)
    private val reader = ShardReader(stream, log, fetchFromPeer)
    private val reserving = HashMap<ReservationId, CompletableDeferred<ReserveAnswer>>()
    private val settling = HashMap<ReservationId, MutableList<CompletableDeferred<Boolean>>>()
    private val loaded = CompletableDeferred<Unit>()

    private var currentThrough = Long.MAX_VALUE

    /** The state after the last event, or null until one was loaded. */
    @Volatile
    public var state: OwnerState? = null
        private set

    /** Records read since the newest snapshot in the stream. */
    public val recordsSinceSnapshot: Long get() = (state?.ledger?.through ?: 0) - newestSnapshot

    @Volatile
    private var newestSnapshot = 0L

    /** Whether the log service takes no appends at present. */
    public val isLogFailing: Boolean get() = appender.isFailing

    /** Records that are not known to be in the log. */
    public val unconfirmedRecords: Int get() = appender.waiting

    /** Starts to follow the shard in [scope]. */
    public fun start(scope: CoroutineScope) {
        scope.launch { follow() }
        scope.launch { appender.run { inbox.send(ShardMessage.AppendFailed) } }
        scope.launch { handleMessages() }
        scope.launch { tick() }
    }

    /** Waits until a state was loaded. */
    public suspend fun awaitLoaded(): Unit = loaded.await()

    /** Reserves tokens; the answer comes by the event's `waitUntil`. */
    public suspend fun reserve(event: OwnerEvent.Reserve): ReserveAnswer {
        val wait = event.waitUntil.millisecondsSince(clock.now())
        withTimeoutOrNull(wait) { awaitLoaded() } ?: return ReserveAnswer.Refused(ResultCode.ROUTER_NOT_READY)
        val answer = CompletableDeferred<ReserveAnswer>()
        inbox.send(ShardMessage.Reserving(event, answer))
        return answer.await()
    }

    /** Settles a request; true when the settlement was read back, false when the log is out and it waits here. */
    public suspend fun settle(event: OwnerEvent.Settle): Boolean {
        awaitLoaded()
        val answer = CompletableDeferred<Boolean>()
        inbox.send(ShardMessage.Settling(event, answer))
        return answer.await()
    }

    /** Sends [event] without waiting for its effects. */
    public suspend fun send(event: OwnerEvent) {
        inbox.send(ShardMessage.Happened(event))
    }

    /** Queues [record] for the next append, once a state was loaded. */
    public suspend fun append(record: LedgerRecord) {
        awaitLoaded()
        appender.enqueue(record)
    }

    /** Appends a snapshot of the present state. */
    public suspend fun takeSnapshot() {
        state?.let { append(SnapshotTaken(it.ledger.toSnapshot())) }
    }

    private suspend fun follow() {
        while (true) {
            val initial = reader.loadInitialState()
            logger.info { "shard: shard $shard is loaded through offset ${initial.ledger.through}" }
            inbox.send(ShardMessage.Loaded(initial))
            reader.follow(initial.ledger.through) { offset, batch ->
                inbox.send(ShardMessage.Happened(OwnerEvent.BatchRead(offset, batch)))
                if (batch.records.any { it is SnapshotTaken }) newestSnapshot = offset
                if (batch.writer == holder) appender.readBack = maxOf(appender.readBack, batch.sequence)
            }
            logger.warn { "shard: shard $shard fell behind the log's retention and is loaded anew" }
        }
    }

    private suspend fun tick() {
        awaitLoaded()
        while (true) {
            delay(TICK_MILLISECONDS)
            inbox.send(ShardMessage.Happened(OwnerEvent.Tick))
        }
    }

    private suspend fun handleMessages() {
        for (message in inbox) {
            when (message) {
                is ShardMessage.Loaded -> load(message.initial)
                is ShardMessage.Reserving -> handleReserve(message)
                is ShardMessage.Settling -> handleSettle(message)
                is ShardMessage.Happened -> decide(message.event)
                is ShardMessage.AppendFailed -> releaseSettling()
            }
        }
    }

    private fun load(initial: InitialLedger) {
        currentThrough = initial.currentThrough
        if (state == null) {
            state = OwnerState(holder, initial.ledger)
        } else {
            decide(OwnerEvent.LedgerReplaced(initial.ledger))
        }
        completeWhenCurrent()
    }

    private fun handleReserve(message: ShardMessage.Reserving) {
        if (message.event.reservation in reserving) {
            message.answer.complete(ReserveAnswer.Refused(ResultCode.REQUEST_IN_PROGRESS))
        } else {
            reserving[message.event.reservation] = message.answer
            decide(message.event)
        }
    }

    private fun handleSettle(message: ShardMessage.Settling) {
        settling.getOrPut(message.event.reservation) { mutableListOf() } += message.answer
        decide(message.event)
        if (appender.isFailing) releaseSettling()
    }

    private fun releaseSettling() {
        settling.values.flatten().forEach { it.complete(false) }
        settling.clear()
    }

    private fun decide(event: OwnerEvent) {
        val present = state ?: return
        val decision = owner.decide(present, event, clock.now())
        state = decision.state
        completeWhenCurrent()
        decision.effects.forEach { carryOut(it) }
    }

    private fun completeWhenCurrent() {
        val through = state?.ledger?.through ?: return
        if (through >= currentThrough) loaded.complete(Unit)
    }

    private fun carryOut(effect: OwnerEffect) {
        when (effect) {
            is OwnerEffect.Append -> appender.enqueue(effect.record)

            is OwnerEffect.AnswerReserve -> reserving.remove(effect.reservation)?.complete(effect.answer)

            is OwnerEffect.AnswerSettle ->
                settling.remove(effect.reservation)?.forEach { it.complete(true) }
        }
    }

    private companion object {
        const val INBOX_CAPACITY = 10_000
        const val TICK_MILLISECONDS = 50L
    }
}
