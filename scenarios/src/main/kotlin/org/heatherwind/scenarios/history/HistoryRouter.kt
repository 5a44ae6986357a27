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
import org.heatherwind.core.owner.ReserveAnswer
import org.heatherwind.core.owner.ShardOwner
import kotlin.random.Random

/**
 * One router's home under virtual time: the decisions that the router runs, with an appender and a reader whose way to
 * the log can fail.
 */
public class HistoryRouter(
    /** Its instance. */
    public val instance: InstanceId,
    private val time: VirtualTime,
    private val log: HistoryLog,
    private val random: Random,
    settings: OwnerSettings = OwnerSettings(),
) {
    private val home = ShardOwner(settings)
    private val queue = ArrayDeque<LedgerRecord>()
    private var underWay: LedgerBatch? = null
    private var sequence = 0L
    private var pausedUntil = time.now
    private val reserving = HashMap<ReservationId, (ReserveAnswer) -> Unit>()
    private val settling = HashMap<ReservationId, MutableList<(Boolean) -> Unit>>()

    /** Its process. */
    public val incarnation: Incarnation = Incarnation.of(instance, time.now)

    /** Its home's state. */
    public var state: OwnerState = OwnerState(incarnation, LedgerState())
        private set

    /** Whether the process has ended. */
    public var isDead: Boolean = false
        private set

    /** Whether the way to the log is cut. */
    public var isCutFromLog: Boolean = false

    /** Starts reading, appending and ticking. */
    public fun start() {
        every(READ_MILLISECONDS) { readNext() }
        every(BATCH_MILLISECONDS) { appendNext() }
        every(TICK_MILLISECONDS) { decide(OwnerEvent.Tick) }
    }

    /** Ends the process. */
    public fun kill() {
        isDead = true
    }

    /** Stops the process for [milliseconds]; what arrives is handled after it. */
    public fun pause(milliseconds: Long) {
        pausedUntil = time.now.plusMilliseconds(milliseconds)
    }

    /** Runs [action] in this process: at once, after its pause, or never when it is dead. */
    public fun act(action: () -> Unit) {
        when {
            isDead -> Unit
            pausedUntil > time.now -> time.after(pausedUntil.millisecondsSince(time.now)) { act(action) }
            else -> action()
        }
    }

    /** Reserves; [onAnswer] is called in this process. */
    public fun reserve(event: OwnerEvent.Reserve, onAnswer: (ReserveAnswer) -> Unit) {
        if (event.reservation in reserving) return
        reserving[event.reservation] = onAnswer
        decide(event)
    }

    /** Settles; [onAnswer] is called with whether the settlement is in the log. */
    public fun settle(event: OwnerEvent.Settle, onAnswer: (Boolean) -> Unit) {
        settling.getOrPut(event.reservation) { mutableListOf() } += onAnswer
        decide(event)
        if (!reachesLog()) releaseSettling()
    }

    /** Handles [event]. */
    public fun decide(event: OwnerEvent) {
        val decision = home.decide(state, event, time.now)
        state = decision.state
        decision.effects.forEach { carryOut(it) }
    }

    /** Appends [record]. */
    public fun append(record: LedgerRecord) {
        queue += record
    }

    /** Appends a snapshot of the present state. */
    public fun takeSnapshot() {
        append(SnapshotTaken(state.ledger.toSnapshot()))
    }

    private fun carryOut(effect: OwnerEffect) {
        when (effect) {
            is OwnerEffect.Append -> queue += effect.record

            is OwnerEffect.AnswerReserve -> reserving.remove(effect.reservation)?.invoke(effect.answer)

            is OwnerEffect.AnswerSettle ->
                settling.remove(effect.reservation)?.forEach { it(true) }
        }
    }

    private fun readNext() {
        if (!reachesLog()) return
        if (state.ledger.through + 1 < log.oldest) decide(OwnerEvent.LedgerReplaced(log.newestSnapshot()))
        repeat(READ_BATCHES) {
            val next = state.ledger.through + 1
            if (next < log.end) readBatch(next, log.read(next))
        }
    }

    private fun readBatch(offset: Long, batch: LedgerBatch) {
        decide(OwnerEvent.BatchRead(offset, batch))
        if (batch == underWay) underWay = null
    }

    private fun appendNext() {
        val batch = underWay ?: nextBatch() ?: return
        underWay = batch
        if (!reachesLog()) return releaseSettling()
        time.after(random.nextLong(1, APPEND_MILLISECONDS)) { arrive(batch) }
        if (random.nextInt(REPEAT_ONE_IN) == 0) time.after(random.nextLong(LATE_MILLISECONDS)) { log.append(batch) }
    }

    private fun arrive(batch: LedgerBatch) {
        if (log.isOut) return
        log.append(batch)
        val isAnswered = !log.losesAnswers && random.nextInt(LOSE_ONE_IN) != 0
        if (isAnswered) act { if (underWay == batch) underWay = null } else releaseSettling()
    }

    private fun nextBatch(): LedgerBatch? {
        if (queue.isEmpty()) return null
        val records = queue.toList()
        queue.clear()
        return LedgerBatch(incarnation, ++sequence, records)
    }

    private fun releaseSettling() {
        val waiting = settling.values.flatten()
        settling.clear()
        waiting.forEach { it(false) }
    }

    private fun reachesLog() = !isCutFromLog && !log.isOut

    private fun every(milliseconds: Long, action: () -> Unit) {
        time.after(random.nextLong(milliseconds)) { repeatEvery(milliseconds, action) }
    }

    private fun repeatEvery(milliseconds: Long, action: () -> Unit) {
        act {
            action()
            time.after(milliseconds) { repeatEvery(milliseconds, action) }
        }
    }

    private companion object {
        const val READ_MILLISECONDS = 10L
        const val READ_BATCHES = 50
        const val BATCH_MILLISECONDS = 45L
        const val TICK_MILLISECONDS = 50L
        const val APPEND_MILLISECONDS = 10L
        const val LATE_MILLISECONDS = 20_000L
        const val REPEAT_ONE_IN = 20
        const val LOSE_ONE_IN = 20
    }
}
