package org.heatherwind.scenarios.history

import org.heatherwind.core.identity.AttemptKey
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.SettlementOutcome
import org.heatherwind.core.result.ResultCode

/** An invariant violation, described in one sentence. */
public data class Violation(val description: String)

/** Records which requests ran and completed, independently of the routers, and checks the ledger against them. */
public class HistoryOracle {
    private val runs = HashMap<RequestKey, Int>()
    private val attemptRuns = HashMap<AttemptKey, Int>()
    private val completedTokens = HashMap<RequestKey, Long>()

    /** Invariant violations found so far. */
    public val violations: MutableList<Violation> = mutableListOf()

    /** Number of requests whose complete response was sent. */
    public val completedCount: Int get() = completedTokens.size

    internal fun recordRun(demand: HistoryDemand) {
        runs.merge(demand.key, 1, Int::plus)
        val attempt = demand.claim?.attempt ?: return
        val count = attemptRuns.merge(attempt, 1, Int::plus) ?: 0
        if (count > 1) violations += Violation("non-idempotent work $attempt ran $count times")
    }

    internal fun recordResponse(demand: HistoryDemand) {
        completedTokens[demand.key] = demand.usedTokens
    }

    internal fun recordRefusal(demand: HistoryDemand, code: ResultCode) {
        val isDuplicateRefusal = code == ResultCode.REQUEST_IN_PROGRESS || code == ResultCode.REQUEST_ALREADY_ANSWERED
        if (!isDuplicateRefusal && demand.claim != null && demand.key in runs) {
            violations += Violation("${demand.key} was refused with ${code.name}, but it ran")
        }
    }

    /** Checks the invariants that [ledger] must satisfy at every offset. */
    public fun checkLedger(ledger: LedgerState) {
        for ((budget, account) in ledger.budgets) {
            if (account.spent >
                account.prepaid
            ) {
                violations += Violation("$budget spent ${account.spent} of ${account.prepaid} prepaid tokens")
            }
            if (account.available < 0) {
                violations += Violation("$budget granted more tokens than it has: ${account.available} available")
            }
            if (account.shortfall > 0) violations += Violation("$budget has a shortfall of ${account.shortfall}")
        }
    }

    /** Checks, after all settlements, that each completed request was charged exactly its used tokens in [ledger]. */
    public fun checkCharges(ledger: LedgerState) {
        for ((request, tokens) in completedTokens) {
            val settlement = ledger.settled[request]
            when {
                settlement == null -> violations += Violation("$request completed but was never charged")

                settlement.outcome != SettlementOutcome.COMPLETED ->
                    violations += Violation("$request completed but was settled as ${settlement.outcome}")

                settlement.charged != tokens ->
                    violations +=
                        Violation("$request used $tokens tokens but was charged ${settlement.charged}")
            }
        }
        val charged = ledger.settled.current.values.sumOf { it.charged }
        val spent = ledger.budgets.values.sumOf { it.spent }
        if (charged != spent) violations += Violation("the charges sum to $charged, the spent tokens to $spent")
    }
}
