package org.heatherwind.operator.demonstration

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withContext
import org.heatherwind.operator.client.CallerClient
import kotlin.random.Random

/** Runs routers, stand-ins and callers in this process, and checks responses, charges and executions. */
public class Demonstration(
    private val requests: Int,
    private val seed: Long,
    private val scenario: DemonstrationScenario,
    private val onProgress: (String) -> Unit = {},
) {
    private val counters = DemonstrationCounters()

    /** Runs the demonstration and returns its summary after the last settlement. */
    public suspend fun run(): DemonstrationSummary = LocalFleet(LocalPlatform.start()).use { fleet ->
        repeat(ROUTERS) { fleet.startRouter("router-${it + 1}") }
        fleet.configure()
        onProgress("$ROUTERS routers are ready")
        val keys = List(BUDGETS) { fleet.createBudget("studio-$it", BUDGET_TOKENS) }
        val budgets = List(BUDGETS) { "studio-$it" }
        withContext(Dispatchers.Default) {
            coroutineScope {
                launch { scenario.run(fleet, budgets) }
                launch { sendAll(fleet, keys) }
            }
        }
        onProgress("all requests ended; waiting for the last settlements")
        val billed = awaitSettlements(fleet, budgets)
        DemonstrationCheck(fleet, counters).summary(requests, seed, scenario.name, billed)
    }

    private suspend fun sendAll(fleet: LocalFleet, keys: List<String>) = CallerClient().use { client ->
        val permits = Semaphore(CONCURRENT_CALLERS)
        val random = Random(seed)
        val progressInterval = maxOf(requests / PROGRESS_REPORTS, 1)
        coroutineScope {
            repeat(requests) { index ->
                val caller = DemonstrationCaller(
                    fleet,
                    client,
                    counters,
                    index,
                    keys[random.nextInt(keys.size)],
                    random.nextLong(),
                )
                val isOrder = random.nextInt(REQUESTS_PER_ORDER) == 0
                permits.acquire()
                launch {
                    try {
                        if (isOrder) caller.order() else caller.chat()
                    } finally {
                        permits.release()
                    }
                }
                if ((index + 1) % progressInterval == 0) onProgress("${index + 1} of $requests requests sent")
            }
        }
    }

    private suspend fun awaitSettlements(fleet: LocalFleet, budgets: List<String>): List<BilledBudget> {
        var previous = emptyList<BilledBudget>()
        repeat(MAXIMUM_SETTLEMENT_POLLS) {
            delay(SETTLEMENT_POLL_INTERVAL_MILLISECONDS)
            val current = budgets.map { name ->
                fleet.operator().budget(name).let { BilledBudget(name, it.prepaid, it.spent, it.shortfall) }
            }
            val isIdle = fleet.routers.all { it.process.unconfirmedRecords == 0 && it.process.settlementsWaiting == 0 }
            if (isIdle && current == previous) return current
            previous = current
        }
        return previous
    }

    private companion object {
        const val ROUTERS = 3
        const val BUDGETS = 5
        const val BUDGET_TOKENS = 200_000L
        const val CONCURRENT_CALLERS = 32
        const val REQUESTS_PER_ORDER = 10
        const val PROGRESS_REPORTS = 10
        const val MAXIMUM_SETTLEMENT_POLLS = 60
        const val SETTLEMENT_POLL_INTERVAL_MILLISECONDS = 500L
    }
}

/** State of one budget in the ledger after a demonstration, in tokens. */
internal data class BilledBudget(val name: String, val prepaid: Long, val spent: Long, val shortfall: Long)
