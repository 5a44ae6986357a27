package org.heatherwind.core.admission

import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertSame
import kotlin.test.assertTrue

/** Given more requests than places, when places become free, then they go to requests in the users' order. */
class WaitingOrderTest {
    private class Case(val name: String, val requests: List<Named>, val expected: String)

    private class Named(val name: String, val request: WaitingRequest)

    private val cases = listOf(
        Case(
            "the urgent never behind the less urgent",
            listOf(named("b", rank = 2), named("c", rank = 7), named("a", rank = 0), named("A", rank = 0)),
            "aAbc",
        ),
        Case(
            "one customer sends ten times its usual",
            List(5) { named("x", customer = "large") } + named("y", customer = "small"),
            "xyxxxx",
        ),
        Case(
            "the earlier end of patience first",
            listOf(named("b", until = 90), named("a", 1, "2", until = 80), named("c", 1, "3", until = 95)),
            "abc",
        ),
        Case(
            "a caller that was refused goes before one that just came",
            listOf(named("b", customer = "1"), named("a", customer = "2", wasRefused = true, until = 200)),
            "ab",
        ),
        Case(
            "a customer's tenth request that was refused does not go before another's first",
            listOf(named("a", customer = "1"), named("c", customer = "1"), named("d", customer = "1")) +
                named("e", customer = "1", wasRefused = true) + named("b", customer = "2"),
            "abcde",
        ),
        Case(
            "a customer's turns at one rank do not count at another",
            List(2) { named("a", rank = 0) } + named("b", rank = 1) + named("c", 1, "small", until = 200),
            "aabc",
        ),
        Case("bad ranks", listOf(named("c", Int.MAX_VALUE), named("a", Int.MIN_VALUE), named("b", -1)), "abc"),
    )

    @TestFactory
    fun `given a queue when places become free`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val order = WaitingOrder(capacity = 100)
            case.requests.forEach { assertNull(order.add(it.request)) }
            val placed = List(case.requests.size) { place(order) }
            val names = placed.map { request -> case.requests.single { it.request === request }.name }
            assertEquals(case.expected, names.joinToString(""))
            assertNull(order.next())
        }
    }

    // Guards against urgent requests that keep all others from places for as long as they come.
    @Test
    fun `given urgent requests without end then the others get an eighth of the places and no more`() {
        val order = WaitingOrder(capacity = 100)
        val others = List(10) { request(rank = 2, customer = "patient", arrivedAt = it.toLong()) }
        others.forEach { order.add(it) }
        val placed = (1..80).map { number ->
            order.add(request(rank = 0, customer = "urgent", arrivedAt = 100L + number))
            place(order)
        }
        assertEquals(10, placed.count { it.rank == 2 })
        assertTrue(placed.chunked(8).all { turn -> turn.count { it.rank == 2 } == 1 })
        assertEquals(others, placed.filter { it.rank == 2 })
    }

    // Guards against a large customer that gets all places since a small one comes later.
    @Test
    fun `given a large customer that has waited long when a small one comes then it goes next`() {
        val order = WaitingOrder(capacity = 100)
        repeat(30) { order.add(request(customer = "large")) }
        repeat(5) { place(order) }
        val small = request(customer = "small")
        order.add(small)
        assertTrue(small in List(2) { place(order) })
    }

    @TestFactory
    fun `given a full queue when one more comes then the least urgent goes at once`(): List<DynamicTest> =
        listOf(0 to false, 1 to true, 9 to true).map { (rank, isItself) ->
            DynamicTest.dynamicTest("rank $rank") {
                val order = WaitingOrder(capacity = 64)
                repeat(63) { assertNull(order.add(request(rank = 0, customer = "c$it"))) }
                val last = request(rank = 1, until = 50)
                assertNull(order.add(last))
                val late = request(rank = rank, until = 60, customer = "late")
                assertSame(if (isItself) late else last, assertNotNull(order.add(late)))
                assertEquals(64, order.size)
            }
        }

    // Guards against a request that looks for a target and loses its turn when it finds none.
    @Test
    fun `given a request that found no target when it waits again then it keeps its turn`() {
        val order = WaitingOrder(capacity = 100)
        val first = request(customer = "a")
        order.add(first)
        order.add(request(customer = "b"))
        repeat(20) {
            assertSame(first, order.next())
            order.add(first)
        }
        assertEquals(2, order.size)
    }

    private fun place(order: WaitingOrder): WaitingRequest = checkNotNull(order.next()).also { order.recordPlaced(it) }

    private companion object {
        fun named(
            name: String,
            rank: Int = 1,
            customer: String = "studio",
            until: Long = 100,
            wasRefused: Boolean = false,
        ) = Named(name, request(rank, customer, until, wasRefused = wasRefused))

        fun request(
            rank: Int = 1,
            customer: String = "studio",
            until: Long = 100,
            arrivedAt: Long = 0,
            wasRefused: Boolean = false,
        ) = WaitingRequest(rank, CustomerId(customer), MonotonicTime(until), MonotonicTime(arrivedAt), wasRefused)
    }
}
