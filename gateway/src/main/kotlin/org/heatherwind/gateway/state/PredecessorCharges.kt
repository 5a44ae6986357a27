package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.escrow.SpendCeiling
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.peer.WitnessService
import org.heatherwind.gateway.telemetry.DecisionLog

/** What earlier processes on this instance may have charged, until their grants are closed. */
internal class PredecessorCharges(
    private val self: Incarnation,
    private val startedAt: Timestamp,
    private val witnesses: WitnessService,
    private val log: DecisionLog,
) {
    /** Bounds by process and customer. */
    var charges: Map<Incarnation, Map<CustomerId, HolderCharge>> = emptyMap()
        private set

    /** Notes that all grants of earlier processes are closed. */
    fun clear() {
        charges = emptyMap()
    }

    /** Works out what the process of [report] may have charged after it; it can no longer report. */
    suspend fun note(report: RouterReport) {
        if (report.incarnation == self.value) return
        val silentMilliseconds = startedAt.millisecondsSince(Timestamp(report.epochMilliseconds))
        val mayBeWitnessed = silentMilliseconds < 0 ||
            silentMilliseconds > SpendCeiling.WITNESS_MILLISECONDS - CLOCK_MARGIN_MILLISECONDS
        val witnessed = report.witness?.takeIf { mayBeWitnessed }?.let { witnesses.close(it, report.incarnation) }
        val isWitnessLost = mayBeWitnessed && witnessed == null && report.witness != null
        val last = report.budgets.entries.associate { (customer, budget) ->
            val kept = witnessed?.get(customer) ?: Long.MIN_VALUE
            val atMost = when {
                silentMilliseconds < 0 -> Long.MAX_VALUE

                isWitnessLost -> maxOf(
                    budget.ceiling.after(silentMilliseconds),
                    budget.ceiling.witnessedAfter(silentMilliseconds),
                )

                else -> maxOf(budget.ceiling.after(silentMilliseconds), kept)
            }
            CustomerId(customer) to HolderCharge(budget.usedTokens, atMost)
        }
        val earlier = report.predecessors.entries.associate { (process, charged) ->
            Incarnation(process) to charged.entries.associate { CustomerId(it.key) to it.value.charge }
        }
        charges = earlier + (Incarnation(report.incarnation) to last)
        log.stateChange(
            "budget",
            "An earlier process may have charged up to its ceilings.",
            "process" to report.incarnation,
            "silentMilliseconds" to silentMilliseconds,
            "isWitnessed" to (witnessed != null),
            "isWitnessLost" to isWitnessLost,
            "used" to report.budgets.values.sumOf { it.usedTokens },
            "ceilings" to report.budgets.values.sumOf { it.ceilingTokens },
        )
    }

    private companion object {
        /** Times of day differ between processes by less than this. */
        const val CLOCK_MARGIN_MILLISECONDS = 300L
    }
}
