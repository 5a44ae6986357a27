package org.heatherwind.operator.demonstration

/** Compares the responses that callers received with the charges in the ledger and the executions at the targets. */
internal class DemonstrationCheck(private val fleet: LocalFleet, private val counters: DemonstrationCounters) {
    fun summary(requests: Int, seed: Long, scenario: String, billed: List<BilledBudget>): DemonstrationSummary {
        val spent = billed.sumOf { it.spent }
        val expectedCharge = counters.answeredTokens.get() + counters.ordersAccepted.get() * LocalPlatform.ORDER_PRICE
        val runCounts = fleet.platform.orders.runCounts
        return DemonstrationSummary(
            scenario = scenario,
            seed = seed,
            requests = requests,
            answered = counters.answered.get(),
            refusedByCode = counters.refused.mapKeys { it.key.name }.mapValues { it.value.get() }.toSortedMap(),
            interruptedResponses = counters.interrupted.get(),
            wrongResponses = counters.wrongResponses.get(),
            callerRetries = counters.retries.get(),
            tokensBilled = spent,
            expectedTokens = expectedCharge,
            unbilledTokens = (expectedCharge - spent).coerceAtLeast(0),
            overspentTokens = billed.sumOf { (it.spent - it.prepaid).coerceAtLeast(0) + it.shortfall },
            ordersAccepted = counters.ordersAccepted.get(),
            ordersRunTwice = runCounts.values.count { it > 1 },
            ordersWronglyReportedNotRun = counters.ordersNotRun.count { it in runCounts },
            highestInFlightPerEngine = fleet.platform.engines.maxOf { it.highestInFlight },
        )
    }
}
