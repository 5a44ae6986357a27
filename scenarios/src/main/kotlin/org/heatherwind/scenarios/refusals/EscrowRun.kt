package org.heatherwind.scenarios.refusals

import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.scenarios.history.HistoryDemand
import org.heatherwind.scenarios.history.HistoryFleet
import org.heatherwind.scenarios.history.HistoryOutcome
import org.heatherwind.scenarios.history.HistoryRouter

/** Runs a trace under virtual time with one router per index, each deciding with the production shard owner. */
internal class EscrowRun(
    private val trace: DemandTrace,
    private val prepaid: Long,
    private val routerCount: Int,
    private val partition: Partition?,
) {
    private val fleet = HistoryFleet(seed = 1, hasOwnerPerRouter = true)
    private val budget = BudgetId("busy")
    private var used = 0L
    private var refused = 0
    private var falselyRefused = 0

    fun run(): RefusalResult {
        val routers = List(routerCount) { fleet.startRouter("side-$it") }
        fleet.createBudget(budget, prepaid)
        fleet.time.advance(WARM_UP_MILLISECONDS)
        partition?.let { schedule(it, routers) }
        trace.requests.forEachIndexed { index, request ->
            fleet.time.after(request.atMilliseconds) { sendRequest(index, request, routers[request.router]) }
        }
        fleet.time.advance(trace.requests.last().atMilliseconds + COOL_DOWN_MILLISECONDS)
        val account = fleet.log.ledger.budgets.getValue(budget)
        check(fleet.oracle.violations.isEmpty()) { fleet.oracle.violations.first().description }
        return RefusalResult(trace.requests.size, refused, falselyRefused, maxOf(account.spent - account.prepaid, 0))
    }

    private fun sendRequest(index: Int, request: TracedRequest, router: HistoryRouter) {
        val demand = HistoryDemand(RequestKey("r$index"), budget, request.worstCaseTokens, request.usedTokens)
        fleet.request(router, demand) { outcome ->
            when (outcome) {
                is HistoryOutcome.Completed -> used += request.usedTokens

                is HistoryOutcome.Refused -> {
                    refused++
                    if (prepaid - used >= request.worstCaseTokens) falselyRefused++
                }

                HistoryOutcome.ConnectionLost, HistoryOutcome.Replayed -> Unit
            }
        }
    }

    private fun schedule(partition: Partition, routers: List<HistoryRouter>) {
        val disconnectedRouters = routers.filterIndexed { router, _ -> router !in partition.connectedRouters }
        fleet.time.after(partition.fromMilliseconds) { disconnectedRouters.forEach { it.isDisconnectedFromLog = true } }
        fleet.time.after(partition.untilMilliseconds) {
            disconnectedRouters.forEach { it.isDisconnectedFromLog = false }
        }
    }

    private companion object {
        const val WARM_UP_MILLISECONDS = 1_000L
        const val COOL_DOWN_MILLISECONDS = 30_000L
    }
}
