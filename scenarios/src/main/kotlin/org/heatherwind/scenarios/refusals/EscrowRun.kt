package org.heatherwind.scenarios.refusals

import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.scenarios.history.HistoryDemand
import org.heatherwind.scenarios.history.HistoryEnd
import org.heatherwind.scenarios.history.HistoryFleet
import org.heatherwind.scenarios.history.HistoryRouter

/** Runs a trace over the homes' own decisions under virtual time, one home a side. */
internal class EscrowRun(
    private val trace: DemandTrace,
    private val prepaid: Long,
    private val sides: Int,
    private val partition: Partition?,
) {
    private val fleet = HistoryFleet(seed = 1, isDivided = true)
    private val budget = BudgetId("busy")
    private var used = 0L
    private var refused = 0
    private var falselyRefused = 0

    fun run(): RefusalResult {
        val homes = List(sides) { fleet.startRouter("side-$it") }
        fleet.createBudget(budget, prepaid)
        fleet.time.advance(WARM_UP_MILLISECONDS)
        partition?.let { schedule(it, homes) }
        trace.requests.forEachIndexed { index, request ->
            fleet.time.after(request.atMilliseconds) { arrive(index, request, homes[request.side]) }
        }
        fleet.time.advance(trace.requests.last().atMilliseconds + COOL_DOWN_MILLISECONDS)
        val account = fleet.log.truth.budgets.getValue(budget)
        check(fleet.truth.violations.isEmpty()) { fleet.truth.violations.first().sentence }
        return RefusalResult(trace.requests.size, refused, falselyRefused, maxOf(account.spent - account.prepaid, 0))
    }

    private fun arrive(index: Int, request: TracedRequest, home: HistoryRouter) {
        val demand = HistoryDemand(RequestKey("r$index"), budget, request.worstTokens, request.usedTokens)
        fleet.request(home, demand) { end ->
            when (end) {
                is HistoryEnd.Whole -> used += request.usedTokens

                is HistoryEnd.Refused -> {
                    refused++
                    if (prepaid - used >= request.worstTokens) falselyRefused++
                }

                HistoryEnd.Cut, HistoryEnd.Replayed -> Unit
            }
        }
    }

    private fun schedule(partition: Partition, homes: List<HistoryRouter>) {
        val cutOff = homes.filterIndexed { side, _ -> side !in partition.connectedSides }
        fleet.time.after(partition.fromMilliseconds) { cutOff.forEach { it.isCutFromLog = true } }
        fleet.time.after(partition.untilMilliseconds) { cutOff.forEach { it.isCutFromLog = false } }
    }

    private companion object {
        const val WARM_UP_MILLISECONDS = 1_000L
        const val COOL_DOWN_MILLISECONDS = 30_000L
    }
}
