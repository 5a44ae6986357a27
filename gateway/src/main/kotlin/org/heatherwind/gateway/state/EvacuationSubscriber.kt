package org.heatherwind.gateway.state

import arrow.core.Either
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.target.Evacuations
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.telemetry.DecisionLog

/**
 * Adopts the operators' orders to evacuate data centres into the [state]. Records that are no valid orders are ignored.
 */
internal class EvacuationSubscriber(
    private val state: FleetState,
    private val documents: FleetDocuments,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) : StreamSubscriber {
    /** Also takes back the evacuations whose orders no longer exist. An order that became unreadable stays in force. */
    override fun onSnapshot(records: List<KeyedRecord>) {
        val present = records.mapNotNullTo(HashSet()) { documents.evacuatedDataCentreOf(it.key) }
        adopt(records.fold(state.evacuations, ::after).onlyOf(present))
    }

    override fun onRecords(records: List<KeyedRecord>): Unit = adopt(records.fold(state.evacuations, ::after))

    override fun onCurrent(now: MonotonicTime, isReconnected: Boolean): Unit = Unit

    private fun after(evacuations: Evacuations, record: KeyedRecord): Evacuations {
        val dataCentre = documents.evacuatedDataCentreOf(record.key) ?: return evacuations
        val value = record.value ?: return evacuations.without(dataCentre, record.offset)
        return when (val order = documents.readEvacuation(dataCentre, value)) {
            is Either.Right -> evacuations.with(dataCentre, record.offset)

            is Either.Left -> evacuations.also {
                log.stateChange(
                    SUBJECT,
                    "Ignored an invalid order to evacuate a data centre.",
                    "dataCentre" to dataCentre.value,
                    "offset" to record.offset,
                    "reason" to order.value,
                )
            }
        }
    }

    private fun adopt(updated: Evacuations) {
        val before = state.evacuations.dataCentres
        state.adoptEvacuations(updated, clock.now())
        (updated.dataCentres - before).forEach { logChange("A data centre is evacuated.", it, updated) }
        (before - updated.dataCentres).forEach { logChange("An evacuation was taken back.", it, updated) }
    }

    private fun logChange(sentence: String, dataCentre: DataCentreId, updated: Evacuations) {
        val targets = state.directory.entries.values.filter { it.dataCentre == dataCentre }
        log.stateChange(
            SUBJECT,
            sentence,
            "dataCentre" to dataCentre.value,
            "offset" to updated.offsetOf(dataCentre),
            "isKnown" to (targets.isNotEmpty() || !state.isDirectoryRead),
            "targetsByService" to targets.groupingBy { it.service.value }.eachCount(),
            "servicesWithoutTargets" to state.evacuatedServices().map { it.value },
        )
    }

    private companion object {
        const val SUBJECT = "evacuation"
    }
}
