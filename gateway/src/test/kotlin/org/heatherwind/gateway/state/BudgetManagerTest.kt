package org.heatherwind.gateway.state

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.fleet.Customer
import org.heatherwind.core.identity.CustomerId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Given two routers that share a budget, when the budget covers a request, then either router can reserve it. */
class BudgetManagerTest {
    private class Case(val name: String, val check: suspend TestScope.(BudgetRouter, BudgetRouter) -> Unit)

    private val cases = listOf(
        Case("tokens returned by another router are found although the local copy has none free") { first, second ->
            val held = assertIs<BudgetDecision.Reserved>(first.reserve(60_000))
            assertIs<BudgetDecision.Reserved>(second.reserve(35_000))
            held.reservation.end()
            first.budgets?.returnAll()
            assertIs<BudgetDecision.Reserved>(second.reserve(30_000), "the first router returned 60,000 tokens")
        },
        Case("a return that fails at first is repeated until the grant is closed") { first, second ->
            assertIs<BudgetDecision.Reserved>(first.reserve(60_000)).reservation.end()
            first.setDisconnected(true)
            launch { first.budgets?.returnAll() }
            delay(1_200)
            first.setDisconnected(false)
            delay(1_200)
            assertIs<BudgetDecision.Reserved>(second.reserve(90_000), "the first router returned 60,000 tokens")
        },
        Case("the charges of a killed process are not counted twice after its grant was closed") { first, second ->
            reserveAndCharge(first, 50_000)
            assertIs<BudgetDecision.Reserved>(second.reserve(1_000)).reservation.end()
            second.setDisconnected(true)
            first.kill()
            delay(800)
            first.start()
            delay(700)
            second.setDisconnected(false)
            delay(100)
            assertIs<BudgetDecision.Reserved>(second.reserve(40_000), "50,000 of 100,000 tokens are charged")
        },
        Case("transferred tokens that were not charged serve later requests") { first, second ->
            assertIs<BudgetDecision.Reserved>(first.reserve(30_000)).reservation.end()
            delay(300)
            second.setDisconnected(true)
            assertIs<BudgetDecision.Reserved>(second.reserve(5_000)).reservation.end()
            second.setDisconnected(false)
            delay(1_500)
            reserveAndCharge(first, 45_000)
            reserveAndCharge(second, 45_000)
        },
        Case("a request that exceeds the remaining budget is refused immediately") { first, second ->
            reserveAndCharge(first, 90_000)
            delay(600)
            val before = first.clock.now()
            val decision = second.reserve(20_000)
            assertTrue(decision !is BudgetDecision.Reserved)
            assertTrue(first.clock.now().millisecondsSince(before) < 200, "$decision took 200 ms or longer")
        },
        Case("a request that nothing can cover while all are cut off is refused at once") { first, second ->
            first.setDisconnected(true)
            second.setDisconnected(true)
            first.kill()
            delay(2_500)
            val before = second.clock.now()
            val decision = assertIs<BudgetDecision.Unavailable>(second.reserve(90_000))
            assertTrue(decision.isStoreUnreachable, "the caller is not told to wait for the store")
            assertTrue(second.clock.now().millisecondsSince(before) < 100, "$decision took 100 ms or longer")
        },
    )

    @TestFactory
    fun `given a shared budget when a router needs tokens then it reserves what is left`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                runTest {
                    val records = MemoryRecords()
                    val first = BudgetRouter("router-1", this, records, listOf(customer), Random(1))
                    val second = BudgetRouter("router-2", this, records, listOf(customer), Random(2))
                    first.peers = listOf(second)
                    second.peers = listOf(first)
                    first.start()
                    second.start()
                    try {
                        delay(500)
                        case.check(this, first, second)
                    } finally {
                        // The routers' own scopes would otherwise keep the virtual time running without end.
                        first.kill()
                        second.kill()
                    }
                }
            }
        }

    private suspend fun reserveAndCharge(router: BudgetRouter, tokens: Long) {
        val reservation = assertIs<BudgetDecision.Reserved>(router.reserve(tokens)).reservation
        reservation.charge(tokens)
        reservation.end()
        delay(300)
    }

    private suspend fun BudgetRouter.reserve(tokens: Long): BudgetDecision {
        val manager = checkNotNull(budgets) { "the router is not running" }
        return manager.reserve(customer, tokens, clock.now().plusMilliseconds(RESERVATION_WAIT_MILLISECONDS))
    }

    private companion object {
        const val RESERVATION_WAIT_MILLISECONDS = 1_500L
        val customer = Customer(CustomerId("studio"), persistentListOf("key"), prepaidTokens = 100_000)
    }
}
