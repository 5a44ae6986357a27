package org.heatherwind.gateway.state

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.Moment
import org.heatherwind.core.identity.SteadyClock
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.store.RecordStore
import org.heatherwind.gateway.store.StreamAppend
import org.heatherwind.gateway.store.StreamPartition
import org.heatherwind.gateway.telemetry.DecisionLog

/** Publishes this router's report and keeps those of the others. */
internal class RouterReports(
    private val self: Incarnation,
    private val store: RecordStore,
    private val clock: SteadyClock,
    private val log: DecisionLog,
    private val present: () -> RouterReport,
) : StreamSubscriber {
    private val latest = HashMap<InstanceId, Known>()
    private var contactAt = Moment.distantPast

    /** Routers that report, this one included. Silence while the store is out of reach removes none. */
    fun liveCount(): Int {
        val now = minOf(clock.now(), contactAt)
        val others = latest.count { (instance, known) ->
            instance != self.instance && now.millisecondsSince(known.seenAt) < FORGOTTEN_MILLISECONDS
        }
        return others + 1
    }

    /** Tokens of [customer] charged by all known processes other than this one, as last reported. */
    fun usedElsewhere(customer: CustomerId): Long = latest.values.sumOf { known ->
        if (known.report.incarnation == self.value) 0 else known.report.usedTokens[customer.value] ?: 0
    }

    /** Publishes until it is cancelled. */
    suspend fun publish() {
        while (currentCoroutineContext().isActive) {
            publishOnce()
            delay(maxOf(INTERVAL_MILLISECONDS, liveCount() * INTERVAL_PER_ROUTER_MILLISECONDS))
        }
    }

    /** Publishes the present report. */
    suspend fun publishOnce() {
        val value = Json.encodeToString(RouterReport.serializer(), present()).encodeToByteArray()
        val append = store.append(partition, self.instance.value, value)
        if (append !is StreamAppend.Appended) log.belief("reports", "A report was not confirmed.", "outcome" to append)
    }

    override fun onSnapshot(records: List<KeyedRecord>): Unit = onRecords(records)

    override fun onRecords(records: List<KeyedRecord>) {
        val now = clock.now()
        records.forEach { record -> take(record, now) }
    }

    override fun onCurrent(now: Moment, isRegained: Boolean) {
        contactAt = now
    }

    private fun take(record: KeyedRecord, now: Moment) {
        val value = record.value ?: return
        try {
            val report = Json.decodeFromString(RouterReport.serializer(), value.decodeToString())
            latest[InstanceId(record.key)] = Known(report, now)
        } catch (failure: SerializationException) {
            log.belief("reports", "Ignored an unreadable report.", "router" to record.key, "reason" to failure.message)
        }
    }

    private class Known(val report: RouterReport, val seenAt: Moment)

    companion object {
        /** Where reports lie. */
        val partition = StreamPartition("routers")

        /** Often enough to follow additions and losses within the seconds that shares of limits may be wrong. */
        private const val INTERVAL_MILLISECONDS = 1_000L

        /** Keeps the appends of a large fleet to about a hundred a second. */
        private const val INTERVAL_PER_ROUTER_MILLISECONDS = 10L

        /** Several intervals, so that a lost report does not change the count. */
        private const val FORGOTTEN_MILLISECONDS = 5_000L
    }
}
