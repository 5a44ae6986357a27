package org.heatherwind.gateway.state

import arrow.core.Either
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.telemetry.DecisionLog

/** Adopts routing plans from the store into the [state]. */
internal class PlanSubscriber(
    private val state: FleetState,
    private val documents: FleetDocuments,
    private val log: DecisionLog,
) : StreamSubscriber {
    override fun onSnapshot(records: List<KeyedRecord>): Unit = onRecords(records)

    override fun onRecords(records: List<KeyedRecord>) {
        records.filter { it.key == documents.planKey }.forEach { record -> adopt(record) }
    }

    override fun onCurrent(now: MonotonicTime, isReconnected: Boolean) {
        state.planCheckedAt = now
    }

    private fun adopt(record: KeyedRecord) {
        val value = record.value ?: return
        when (val parsed = documents.readPlan(value)) {
            is Either.Left -> log.stateChange("plan", "Ignored an invalid routing plan.", "reason" to parsed.value)

            is Either.Right -> if (state.adoptPlan(parsed.value)) {
                log.stateChange(
                    "plan",
                    "Adopted a routing plan.",
                    "version" to parsed.value.version,
                    "offset" to record.offset,
                )
            }
        }
    }
}
