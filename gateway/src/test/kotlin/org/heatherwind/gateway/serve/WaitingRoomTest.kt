package org.heatherwind.gateway.serve

import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.heatherwind.core.admission.WaitingRequest
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Given requests that wait at a router, when places come or nothing comes, then each wait ends as it should. */
class WaitingRoomTest {
    private val placed = ArrayList<String>()
    private val ended = ArrayList<String>()
    private val late = ArrayList<String>()

    @Test
    fun `given a full queue when requests end at targets then each end calls the next request`() = runTest {
        val room = room()
        listOf("c" to 2, "a" to 0, "b" to 1).forEach { (name, rank) -> enter(room, name, rank) }
        repeat(3) {
            room.callNext()
            runCurrent()
        }
        assertEquals(listOf("a", "b", "c"), placed)
        assertEquals(0, room.size)
    }

    @Test
    fun `given nothing that ends when a pause has ended then the first request looks soon`() = runTest {
        val room = room()
        enter(room, "a")
        advanceTimeBy(25)
        assertEquals(listOf("a"), placed)
    }

    // Guards against answers that are held back although nothing more can come of the wait.
    @Test
    fun `given no room when its time has passed then a request is refused at that time`() = runTest {
        val room = room()
        val isCalled = async {
            val request = request("a", 0, until = 150)
            while (room.await(request, isTargetOpen = false) == WaitResult.CALLED) Unit
            currentTime
        }
        assertEquals(150, isCalled.await())
        assertEquals(0, room.size)
    }

    @Test
    fun `given as many requests as may wait when a more urgent one comes then the last one is refused at once`() =
        runTest {
            val room = room(capacity = 2)
            enter(room, "b", rank = 1)
            enter(room, "c", rank = 2)
            enter(room, "a", rank = 0)
            assertEquals(listOf("c"), ended)
            enter(room, "d", rank = 3)
            assertEquals(listOf("c", "d"), ended)
            assertEquals(0, currentTime)
        }

    // A router that stops and a caller that leaves both cancel the request.
    @Test
    fun `given a full queue when the router stops then all requests end at once and none is left`() = runTest {
        val room = room()
        val requests = List(64) { enter(room, "r$it") }
        requests.forEach { it.cancelAndJoin() }
        assertEquals(0, currentTime)
        assertEquals(0, room.size)
        assertTrue(placed.isEmpty() && ended.isEmpty() && late.isEmpty())
    }

    // Guards against a place that is lost with the caller to whose request it was given.
    @Test
    fun `given a caller that leaves in its turn when others wait then the next one is called`() = runTest {
        val room = room()
        val first = enter(room, "a", rank = 0)
        enter(room, "b", rank = 1)
        room.callNext()
        first.cancelAndJoin()
        advanceTimeBy(25)
        assertEquals(listOf("b"), placed)
    }

    @Test
    fun `given others that wait when a target is open then a new request does not go before them`() = runTest {
        val room = room()
        enter(room, "a", rank = 0)
        enter(room, "b", rank = 1, isTargetOpen = true)
        assertEquals(listOf("a"), placed)
        assertFalse("b" in placed)
        assertEquals(1, room.size)
    }

    // Guards against a request whose remaining targets are closed and that keeps the turn of all others.
    @Test
    fun `given a first request that may use no open target when a place comes then the next one gets it`() = runTest {
        for ((isRestricted, expected) in listOf(true to listOf("b"), false to emptyList())) {
            placed.clear()
            val room = room()
            val first = WaitingRequest(0, null, MonotonicTime(10_000), MonotonicTime(0), isRestricted = isRestricted)
            val stuck = launch { while (room.await(first, isTargetOpen = false) == WaitResult.CALLED) Unit }
            runCurrent()
            val second = enter(room, "b", rank = 1)
            room.callNext()
            runCurrent()
            assertEquals(expected, placed, "$isRestricted")
            stuck.cancelAndJoin()
            second.cancelAndJoin()
        }
    }

    private fun TestScope.room(capacity: Int = 64) = WaitingRoom({ MonotonicTime(currentTime) }, capacity)

    private fun TestScope.enter(room: WaitingRoom, name: String, rank: Int = 0, isTargetOpen: Boolean = false): Job {
        val job = launch {
            val request = request(name, rank, until = 150)
            when (room.await(request, isTargetOpen)) {
                WaitResult.CALLED -> placed += name.also { room.recordPlaced(request) }
                WaitResult.EVICTED -> ended += name
                WaitResult.TIME_OVER -> late += name
            }
        }
        runCurrent()
        return job
    }

    private companion object {
        fun request(name: String, rank: Int, until: Long) =
            WaitingRequest(rank, CustomerId(name), MonotonicTime(until), MonotonicTime(0))
    }
}
