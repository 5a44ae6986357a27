package org.heatherwind.scenarios.history

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.ReservationId
import org.heatherwind.core.ledger.LedgerBatch
import org.heatherwind.core.ledger.LedgerRecord
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.SnapshotTaken
import org.heatherwind.core.ledger.toSnapshot
import org.heatherwind.core.owner.OwnerEffect
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.core.owner.OwnerSettings
import org.heatherwind.core.owner.OwnerState
import org.heatherwind.core.owner.ReserveResponse
import org.heatherwind.core.owner.ShardOwner
import kotlin.random.Random

/**
 * One router as shard owner under virtual time. It decides with the production [ShardOwner]; its connection
 * to the log can be interrupted.
 */
public class HistoryRouter(
    /** Instance on which the router runs. */
    public val instance: InstanceId,
    private val time: VirtualTime,
    private val log: HistoryLog,
    private val random: Random,
    settings: OwnerSettings = OwnerSettings(),
) {
    private val owner = ShardOwner(settings)
    private val queue = ArrayDeque<LedgerRecord>()
    private var pendingBatch: LedgerBatch? = null
    private var sequence = 0L
    private var pausedUntil = time.now
    private val pendingReservations = HashMap<ReservationId, (ReserveResponse) -> Unit>()
    private val pendingSettlements = HashMap<ReservationId, MutableList<(Boolean) -> Unit>>()

    /** Incarnation of the process. */
    public val incarnation: Incarnation = Incarnation.of(instance, time.now)

    /** Current state of the shard owner. */
    public var state: OwnerState = OwnerState(incarnation, LedgerState())
        private set

    /** Whether the process has ended. */
    public var isDead: Boolean = false
        private set

    /** Whether this router is disconnected from the log. */
    public var isDisconnectedFromLog: Boolean = false

    /** Starts the periodic log reads, appends and ticks. */
    public fun start() {
        scheduleEvery(READ_INTERVAL_MILLISECONDS) { readNext() }
        scheduleEvery(APPEND_INTERVAL_MILLISECONDS) { appendNext() }
        scheduleEvery(TICK_INTERVAL_MILLISECONDS) { decide(OwnerEvent.Tick) }
    }

    /** Kills the process; pending actions no longer run. */
    public fun kill() {
        isDead = true
    }

    /** Pauses the process for [milliseconds]; actions that arrive meanwhile run after the pause. */
    public fun pause(milliseconds: Long) {
        pausedUntil = time.now.plusMilliseconds(milliseconds)
    }

    /** Runs [action] in this process: immediately, after the current pause, or never if the process is dead. */
    public fun execute(action: () -> Unit) {
        when {
            isDead -> Unit
            pausedUntil > time.now -> time.after(pausedUntil.millisecondsSince(time.now)) { execute(action) }
            else -> action()
        }
    }

    /** Reserves tokens; [onResponse] is called in this process. A repeated reservation is ignored while pending. */
    public fun reserve(event: OwnerEvent.Reserve, onResponse: (ReserveResponse) -> Unit) {
        if (event.reservation in pendingReservations) return
        pendingReservations[event.reservation] = onResponse
        decide(event)
    }

    /** Settles a request; [onResponse] receives whether the settlement is in the log. */
    public fun settle(event: OwnerEvent.Settle, onResponse: (Boolean) -> Unit) {
        pendingSettlements.getOrPut(event.reservation) { mutableListOf() } += onResponse
        decide(event)
        if (!canReachLog()) failPendingSettlements()
    }

    /** Applies [event] to the state and performs the resulting effects. */
    public fun decide(event: OwnerEvent) {
        val decision = owner.decide(state, event, time.now)
        state = decision.state
        decision.effects.forEach { performEffect(it) }
    }

    /** Queues [record] for the next batch. */
    public fun append(record: LedgerRecord) {
        queue += record
    }

    /** Queues a snapshot of the current ledger state. */
    public fun takeSnapshot() {
        append(SnapshotTaken(state.ledger.toSnapshot()))
    }

    private fun performEffect(effect: OwnerEffect) {
        when (effect) {
            is OwnerEffect.Append -> queue += effect.record

            is OwnerEffect.RespondToReserve -> pendingReservations.remove(effect.reservation)?.invoke(effect.response)

            is OwnerEffect.ConfirmSettlement ->
                pendingSettlements.remove(effect.reservation)?.forEach { it(true) }
        }
    }

    private fun readNext() {
        if (!canReachLog()) return
        if (state.ledger.through + 1 < log.oldestOffset) decide(OwnerEvent.LedgerReplaced(log.newestSnapshot()))
        repeat(MAXIMUM_BATCHES_PER_READ) {
            val next = state.ledger.through + 1
            if (next < log.end) readBatch(next, log.read(next))
        }
    }

    private fun readBatch(offset: Long, batch: LedgerBatch) {
        decide(OwnerEvent.BatchRead(offset, batch))
        if (batch == pendingBatch) pendingBatch = null
    }

    private fun appendNext() {
        val batch = pendingBatch ?: nextBatch() ?: return
        pendingBatch = batch
        if (!canReachLog()) return failPendingSettlements()
        time.after(random.nextLong(1, MAXIMUM_APPEND_DELAY_MILLISECONDS)) { deliverBatch(batch) }
        if (random.nextInt(DUPLICATE_APPEND_ONE_IN) ==
            0
        ) {
            time.after(random.nextLong(MAXIMUM_DUPLICATE_DELAY_MILLISECONDS)) { log.append(batch) }
        }
    }

    private fun deliverBatch(batch: LedgerBatch) {
        if (log.isUnavailable) return
        log.append(batch)
        val hasResponse = !log.losesResponses && random.nextInt(LOST_RESPONSE_ONE_IN) != 0
        if (hasResponse) execute { if (pendingBatch == batch) pendingBatch = null } else failPendingSettlements()
    }

    private fun nextBatch(): LedgerBatch? {
        if (queue.isEmpty()) return null
        val records = queue.toList()
        queue.clear()
        return LedgerBatch(incarnation, ++sequence, records)
    }

    private fun failPendingSettlements() {
        val waiting = pendingSettlements.values.flatten()
        pendingSettlements.clear()
        waiting.forEach { it(false) }
    }

    private fun canReachLog() = !isDisconnectedFromLog && !log.isUnavailable

    private fun scheduleEvery(milliseconds: Long, action: () -> Unit) {
        time.after(random.nextLong(milliseconds)) { repeatEvery(milliseconds, action) }
    }

    private fun repeatEvery(milliseconds: Long, action: () -> Unit) {
        execute {
            action()
            time.after(milliseconds) { repeatEvery(milliseconds, action) }
        }
    }

    private companion object {
        const val READ_INTERVAL_MILLISECONDS = 10L
        const val MAXIMUM_BATCHES_PER_READ = 50
        const val APPEND_INTERVAL_MILLISECONDS = 45L
        const val TICK_INTERVAL_MILLISECONDS = 50L
        const val MAXIMUM_APPEND_DELAY_MILLISECONDS = 10L
        const val MAXIMUM_DUPLICATE_DELAY_MILLISECONDS = 20_000L
        const val DUPLICATE_APPEND_ONE_IN = 20
        const val LOST_RESPONSE_ONE_IN = 20
    }
}
