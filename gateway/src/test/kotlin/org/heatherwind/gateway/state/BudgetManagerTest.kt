package org.heatherwind.gateway.state

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Given two routers with one customer's budget, when tokens move between them, then a request that fits is served. */
class BudgetManagerTest {
    private class Case(val name: String, val check: suspend TestScope.(BudgetRouter, BudgetRouter) -> Unit)

    private val cases = listOf(
        Case("tokens that another router gave back are found though the own copy shows none") { first, second ->
            val held = assertIs<BudgetDecision.Reserved>(first.ask(60_000))
            assertIs<BudgetDecision.Reserved>(second.ask(35_000))
            held.reservation.end()
            first.budgets?.returnAll()
            assertIs<BudgetDecision.Reserved>(second.ask(30_000), "the first router gave back 60,000 tokens")
        },
        Case("the use of a dead process is not counted twice after its grant was closed") { first, second ->
            use(first, 50_000)
            assertIs<BudgetDecision.Reserved>(second.ask(1_000)).reservation.end()
            second.setCut(true)
            first.kill()
            delay(800)
            first.start()
            delay(700)
            second.setCut(false)
            delay(100)
            assertIs<BudgetDecision.Reserved>(second.ask(40_000), "50,000 of 100,000 tokens are used")
        },
        Case("borrowed tokens that were not used serve later requests") { first, second ->
            assertIs<BudgetDecision.Reserved>(first.ask(30_000)).reservation.end()
            delay(300)
            second.setCut(true)
            assertIs<BudgetDecision.Reserved>(second.ask(5_000)).reservation.end()
            second.setCut(false)
            delay(1_500)
            use(first, 45_000)
            use(second, 45_000)
        },
        Case("a request that does not fit is refused at once") { first, second ->
            use(first, 90_000)
            delay(600)
            val before = first.clock.now()
            val decision = second.ask(20_000)
            assertTrue(decision !is BudgetDecision.Reserved)
            assertTrue(first.clock.now().millisecondsSince(before) < 200, "$decision took too long")
        },
    )

    @TestFactory
    fun `tokens reach the router that needs them`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            runTest {
                val records = MemoryRecords()
                val first = BudgetRouter("router-1", this, records, customer, Random(1))
                val second = BudgetRouter("router-2", this, records, customer, Random(2))
                first.peers = listOf(second)
                second.peers = listOf(first)
                first.start()
                second.start()
                delay(500)
                case.check(this, first, second)
                first.kill()
                second.kill()
            }
        }
    }

    private suspend fun use(router: BudgetRouter, tokens: Long) {
        val reservation = assertIs<BudgetDecision.Reserved>(router.ask(tokens)).reservation
        reservation.charge(tokens)
        reservation.end()
        delay(300)
    }

    private suspend fun BudgetRouter.ask(tokens: Long): BudgetDecision {
        val keeper = checkNotNull(budgets) { "the router does not run" }
        return keeper.reserve(customer, tokens, clock.now().plusMilliseconds(PATIENCE_MILLISECONDS))
    }

    private companion object {
        const val PATIENCE_MILLISECONDS = 1_500L
        val customer = Customer(CustomerId("studio"), persistentListOf("key"), prepaidTokens = 100_000)
    }
}
