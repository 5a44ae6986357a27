package org.heatherwind.router.operator

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.ledger.BudgetAccount
import org.heatherwind.core.ledger.BudgetCreated
import org.heatherwind.core.ledger.KeyAdded
import org.heatherwind.core.ledger.LedgerRecord
import org.heatherwind.core.ledger.LedgerState
import org.heatherwind.core.ledger.ToppedUp
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.protocol.operations.BudgetMessage
import org.heatherwind.protocol.operations.BudgetReport
import org.heatherwind.protocol.operations.GrantReport
import org.heatherwind.protocol.operations.TopUpMessage
import org.heatherwind.router.shard.ShardRunner
import org.heatherwind.router.shard.ShardRunnerRegistry

/** Operators' changes of budgets, which count once they were read back from the log. */
internal class BudgetOperations(private val shards: ShardRunnerRegistry, private val shardCount: Int) {
    /** Creates a budget with a key; false when the log did not give it back in time. */
    suspend fun create(message: BudgetMessage): Boolean {
        val budget = BudgetId(message.budget)
        val digest = Digest(message.keyDigest)
        val records = listOf(BudgetCreated(budget, CustomerId(message.customer)), KeyAdded(budget, digest))
        return append(budget, records) { digest in it.keyDigests }
    }

    /** Adds tokens; false when the log did not give the top-up back in time, in which case it may still take effect. */
    suspend fun topUp(budget: BudgetId, message: TopUpMessage): Boolean =
        append(budget, listOf(ToppedUp(budget, message.tokens, message.topUpKey))) { message.topUpKey in it.topUpKeys }

    /** The state of [budget], or null when it does not exist. */
    suspend fun report(budget: BudgetId): BudgetReport? {
        val runner = runnerOf(budget)
        withTimeoutOrNull(WAIT_MILLISECONDS) { runner.awaitLoaded() }
        val ledger = runner.state?.ledger ?: return null
        return ledger.budgets[budget]?.let { reportOf(budget, it, ledger) }
    }

    private fun reportOf(budget: BudgetId, account: BudgetAccount, ledger: LedgerState): BudgetReport {
        val grants = account.remaining.map { GrantReport(it.key.value, it.value, it.key in ledger.gone) }
        return BudgetReport(
            budget = budget.value,
            customer = account.customer.value,
            prepaid = account.prepaid,
            spent = account.spent,
            available = account.available,
            grants = grants.sortedBy { it.holder },
            quarantined = grants.filter { it.isQuarantined }.sumOf { it.remaining },
            shortfall = account.shortfall,
        )
    }

    private suspend fun append(
        budget: BudgetId,
        records: List<LedgerRecord>,
        isApplied: (BudgetAccount) -> Boolean,
    ): Boolean {
        val runner = runnerOf(budget)
        return withTimeoutOrNull(WAIT_MILLISECONDS) {
            records.forEach { runner.append(it) }
            while (runner.state?.ledger?.budgets?.get(budget)?.let(isApplied) != true) delay(POLL_MILLISECONDS)
            true
        } ?: false
    }

    private fun runnerOf(budget: BudgetId): ShardRunner = shards.of(Rendezvous.shardOf(budget, shardCount))

    private companion object {
        const val WAIT_MILLISECONDS = 5_000L
        const val POLL_MILLISECONDS = 5L
    }
}
