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

/** Budget operations for operators. A change counts as applied once it was read back from the log. */
internal class BudgetOperations(private val shards: ShardRunnerRegistry, private val shardCount: Int) {
    /**
     * Creates a budget with an API key. Returns false when the records were not read back within the timeout; they may
     * still take effect.
     */
    suspend fun create(message: BudgetMessage): Boolean {
        val budget = BudgetId(message.budget)
        val digest = Digest(message.keyDigest)
        val records = listOf(BudgetCreated(budget, CustomerId(message.customer)), KeyAdded(budget, digest))
        return append(budget, records) { digest in it.keyDigests }
    }

    /**
     * Adds tokens to [budget]. Returns false when the top-up was not read back within the timeout; it may still take
     * effect.
     */
    suspend fun topUp(budget: BudgetId, message: TopUpMessage): Boolean =
        append(budget, listOf(ToppedUp(budget, message.tokens, message.topUpKey))) { message.topUpKey in it.topUpKeys }

    /** Returns the state of [budget], or null when it does not exist or the shard's state is not available. */
    suspend fun report(budget: BudgetId): BudgetReport? {
        val runner = runnerOf(budget)
        withTimeoutOrNull(TIMEOUT_MILLISECONDS) { runner.awaitLoaded() }
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
        return withTimeoutOrNull(TIMEOUT_MILLISECONDS) {
            records.forEach { runner.append(it) }
            while (runner.state?.ledger?.budgets?.get(budget)?.let(isApplied) != true) delay(POLL_INTERVAL_MILLISECONDS)
            true
        } ?: false
    }

    private fun runnerOf(budget: BudgetId): ShardRunner = shards.getOrStart(Rendezvous.shardOf(budget, shardCount))

    private companion object {
        const val TIMEOUT_MILLISECONDS = 5_000L
        const val POLL_INTERVAL_MILLISECONDS = 5L
    }
}
