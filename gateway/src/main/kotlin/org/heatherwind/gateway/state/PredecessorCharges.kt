package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.escrow.SpendCeiling
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.peer.WitnessService
import org.heatherwind.gateway.telemetry.DecisionLog

/** Bounds on what the predecessors on this instance charged, kept until their grants are closed. */
internal class PredecessorCharges(
    private val self: Incarnation,
    private val startedAt: Timestamp,
    private val witnesses: WitnessService,
    private val log: DecisionLog,
) {
    /** Bounds by predecessor and customer. */
    var charges: Map<Incarnation, Map<CustomerId, HolderCharge>> = emptyMap()
        private set

    /** Drops all bounds, once the grants of all predecessors are closed. */
    fun clear() {
        charges = emptyMap()
    }

    /**
     * Computes from [report], the last one of the direct predecessor, what that process may have charged. The process
     * must be fenced already. The bounds in [report] on the charges of earlier predecessors are copied.
     *
     * Between its last report and the start of this process it may have charged up to its ceiling, which grows with
     * the elapsed time, or up to the ceilings that its witness stored. Without a response from the witness, the upper
     * bound is the highest ceiling that the witness may have stored. If the elapsed time is negative, the wall clock
     * was set back, and there is no upper bound. A clock that was set back by less is noticed where another router
     * reported later, at [latestReportAt]: the larger elapsed time counts. That report may have been sent up to
     * [sinceStartMilliseconds] after the start of this process, which are not the predecessor's.
     */
    suspend fun recordFinalReport(
        report: RouterReport,
        latestReportAt: Timestamp? = null,
        sinceStartMilliseconds: Long = 0,
    ) {
        if (report.incarnation == self.value) return
        val reportedAt = Timestamp(report.epochMilliseconds)
        val ownMilliseconds = startedAt.millisecondsSince(reportedAt)
        val elapsedMilliseconds = if (ownMilliseconds < 0) {
            ownMilliseconds
        } else {
            val silentToOthers = latestReportAt?.millisecondsSince(reportedAt) ?: 0
            maxOf(ownMilliseconds, silentToOthers - sinceStartMilliseconds)
        }
        val isWitnessPossible = elapsedMilliseconds < 0 ||
            elapsedMilliseconds > SpendCeiling.WITNESS_MILLISECONDS - CLOCK_MARGIN_MILLISECONDS
        val witnessed = report.witness?.takeIf { isWitnessPossible }
            ?.let { witnesses.closeCeilings(it, report.incarnation) }
        val isWitnessUnavailable = isWitnessPossible && witnessed == null && report.witness != null
        val ownCharges = report.budgets.entries.associate { (customer, budget) ->
            val witnessedTokens = witnessed?.get(customer) ?: Long.MIN_VALUE
            val atMost = when {
                elapsedMilliseconds < 0 -> Long.MAX_VALUE

                isWitnessUnavailable -> maxOf(
                    budget.ceiling.tokensAfter(elapsedMilliseconds),
                    budget.ceiling.witnessedTokensAfter(elapsedMilliseconds),
                )

                else -> maxOf(budget.ceiling.tokensAfter(elapsedMilliseconds), witnessedTokens)
            }
            CustomerId(customer) to HolderCharge(budget.usedTokens, atMost)
        }
        val inheritedCharges = report.predecessors.entries.associate { (process, charged) ->
            Incarnation(process) to charged.entries.associate { CustomerId(it.key) to it.value.charge }
        }
        charges = inheritedCharges + (Incarnation(report.incarnation) to ownCharges)
        log.stateChange(
            "budget",
            "Computed bounds on the charges of the predecessor.",
            "process" to report.incarnation,
            "silentMilliseconds" to elapsedMilliseconds,
            "isWitnessed" to (witnessed != null),
            "isWitnessLost" to isWitnessUnavailable,
            "used" to report.budgets.values.sumOf { it.usedTokens },
            "ceilings" to report.budgets.values.sumOf { it.ceilingTokens },
        )
    }

    private companion object {
        /** Upper bound on the difference between the wall clocks of two processes. */
        const val CLOCK_MARGIN_MILLISECONDS = 300L
    }
}
