package org.heatherwind.operator.demonstration

/** Compares what callers got with what the ledger billed and what targets ran. */
internal class DemonstrationCheck(private val fleet: LocalFleet, private val tally: DemonstrationTally) {
    fun summary(requests: Int, seed: Long, scenario: String, billed: List<BilledBudget>): DemonstrationSummary {
        val spent = billed.sumOf { it.spent }
        val owed = tally.answeredTokens.get() + tally.ordersAccepted.get() * LocalPlatform.ORDER_PRICE
        val runs = fleet.platform.orders.runCounts
        return DemonstrationSummary(
            scenario = scenario,
            seed = seed,
            requests = requests,
            answered = tally.answered.get(),
            refusedByCode = tally.refused.mapKeys { it.key.name }.mapValues { it.value.get() }.toSortedMap(),
            cutAnswers = tally.cut.get(),
            wrongAnswers = tally.wrong.get(),
            callerRetries = tally.retries.get(),
            tokensBilled = spent,
            tokensAnswered = owed,
            unbilledAnswerTokens = (owed - spent).coerceAtLeast(0),
            overspentTokens = billed.sumOf { (it.spent - it.prepaid).coerceAtLeast(0) + it.shortfall },
            ordersAccepted = tally.ordersAccepted.get(),
            ordersRunTwice = runs.values.count { it > 1 },
            untrueNotRun = tally.ordersNotRun.count { it in runs },
            mostInFlightOnATarget = fleet.platform.engines.maxOf { it.highestInFlight },
        )
    }
}
