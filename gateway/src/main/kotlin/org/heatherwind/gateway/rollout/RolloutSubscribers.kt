package org.heatherwind.gateway.rollout

import arrow.core.Either
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.state.FleetDocuments
import org.heatherwind.gateway.state.StreamSubscriber
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.telemetry.DecisionLog

/**
 * Adopts the operators' orders for roll-outs. Records that are no valid orders are ignored.
 *
 * @param firstWriteAt returns the time before which the first status of an order is not written
 */
internal class RolloutOrderSubscriber(
    private val rollouts: Rollouts,
    private val documents: FleetDocuments,
    private val log: DecisionLog,
    private val firstWriteAt: () -> MonotonicTime,
) : StreamSubscriber {
    override fun onSnapshot(records: List<KeyedRecord>): Unit = onRecords(records)

    override fun onRecords(records: List<KeyedRecord>) {
        for (record in records) {
            val service = documents.rolloutServiceOf(record.key) ?: continue
            val value = record.value ?: continue
            when (val order = documents.readRolloutOrder(service, record.offset, value)) {
                is Either.Right -> rollouts.adoptOrder(order.value, firstWriteAt())

                is Either.Left -> log.stateChange(
                    Rollouts.SUBJECT,
                    "Ignored an invalid order for a roll-out.",
                    "service" to service.value,
                    "order" to record.offset,
                    "reason" to order.value,
                )
            }
        }
    }

    override fun onRestored(now: MonotonicTime): Unit = rollouts.onRestored()

    override fun onCurrent(now: MonotonicTime, isReconnected: Boolean) {
        rollouts.ordersReadAt = now
    }
}

/** Adopts the stored statuses of roll-outs. Records that are no valid statuses are ignored. */
internal class RolloutStatusSubscriber(
    private val rollouts: Rollouts,
    private val documents: FleetDocuments,
    private val log: DecisionLog,
) : StreamSubscriber {
    override fun onSnapshot(records: List<KeyedRecord>): Unit = onRecords(records)

    override fun onRecords(records: List<KeyedRecord>) {
        for (record in records) {
            val service = documents.rolloutServiceOf(record.key) ?: continue
            val value = record.value ?: continue
            when (val status = documents.readRolloutStatus(service, value)) {
                is Either.Right -> rollouts.adoptStatus(status.value)

                is Either.Left -> log.stateChange(
                    Rollouts.SUBJECT,
                    "Ignored an invalid status of a roll-out.",
                    "service" to service.value,
                    "reason" to status.value,
                )
            }
        }
    }

    override fun onCurrent(now: MonotonicTime, isReconnected: Boolean) {
        rollouts.statusesReadAt = now
    }
}
