package org.heatherwind.gateway.store

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.state.FleetDocuments
import org.heatherwind.gateway.state.ReportPublisher
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import java.util.TreeMap

/** Counts this router's calls to the store in [metrics], and logs them at times. Confined to the event loop. */
internal class StoreCallCounter(
    private val documents: FleetDocuments,
    private val metrics: GatewayMetrics,
    private val log: DecisionLog,
) {
    private val calls = TreeMap<String, Int>()
    private var nextLogAt = MonotonicTime.distantPast

    /** Returns [store] with its calls counted. */
    fun counted(store: RecordStore): RecordStore =
        CountingRecordStore(store, ::purposeOfRead, ::purposeOfAppend, ::count)

    private fun purposeOfRead(partition: StreamPartition): StoreCallPurpose = when (partition) {
        ReportPublisher.partition -> StoreCallPurpose.REPORT_READ
        documents.planPartition -> StoreCallPurpose.PLAN_READ
        documents.targetPartition -> StoreCallPurpose.TARGET_READ
        documents.statusPartition -> StoreCallPurpose.STATUS_READ
        else -> StoreCallPurpose.LEDGER_READ
    }

    private fun purposeOfAppend(partition: StreamPartition): StoreCallPurpose = when (partition) {
        ReportPublisher.partition -> StoreCallPurpose.REPORT
        documents.statusPartition -> StoreCallPurpose.STATUS_WRITE
        else -> StoreCallPurpose.LEDGER_APPEND
    }

    private fun count(call: StoreCall) {
        val outcome = call.outcome.name.lowercase()
        metrics.countStoreCall(call.purpose.label, outcome, call.bytes)
        val name = if (call.outcome == StoreCallOutcome.DONE) call.purpose.label else "${call.purpose.label} $outcome"
        calls.merge(name, 1, Int::plus)
    }

    /** Logs the calls since the last such line, at most once per [LOG_INTERVAL_MILLISECONDS]. */
    fun logWhenDue(now: MonotonicTime, routers: Int) {
        if (now < nextLogAt || calls.isEmpty()) return
        nextLogAt = now.plusMilliseconds(LOG_INTERVAL_MILLISECONDS)
        log.stateChange(
            "store",
            "Calls to the store.",
            "routers" to routers,
            "calls" to calls.entries.joinToString { "${it.key} ${it.value}" },
        )
        calls.clear()
    }

    private companion object {
        /** Rare in comparison with the calls, and often enough to see a change within an outage of the store. */
        const val LOG_INTERVAL_MILLISECONDS = 5_000L
    }
}
