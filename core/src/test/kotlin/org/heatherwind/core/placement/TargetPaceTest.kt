package org.heatherwind.core.placement

import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.PaceChange.Kind.BEGAN
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Given one target that returns, when it answers, then its window follows the answers. */
class TargetPaceTest {
    private class Case(
        val name: String,
        val routers: Int,
        val answers: List<Double>,
        val isLimited: Boolean,
        val roomFor: Int = 1,
        val at: Long = 600,
    )

    private val cases = listOf(
        Case("no answer yet, one router", routers = 1, answers = emptyList(), isLimited = true, roomFor = 4),
        Case(
            "a few answers in time, one router",
            routers = 1,
            answers = List(4) {
                1.0
            },
            isLimited = true,
            roomFor = 12,
        ),
        Case("answers in time, one router", routers = 1, answers = List(20) { 1.0 }, isLimited = false),
        Case("an answer in time, 80 routers of which some had no turn yet", 80, listOf(1.0), isLimited = true),
        Case("an answer in time, 80 routers that all had their turn", 80, listOf(1.0), false, at = 5_000),
        Case("no answer yet, 80 routers", routers = 80, answers = emptyList(), isLimited = true),
        Case("slow answers, 80 routers", routers = 80, answers = List(20) { 5.0 }, isLimited = true),
        Case("slow answers, one router", routers = 1, answers = List(20) { 5.0 }, isLimited = true),
        Case("answers neither fast nor slow", 1, List(20) { 2.5 }, isLimited = true, roomFor = 15),
        Case("answers neither fast nor slow, for longer", 1, List(80) { 2.5 }, isLimited = false),
        Case("slow, then in time", routers = 1, answers = List(5) { 5.0 } + List(30) { 1.0 }, isLimited = false),
    )

    @TestFactory
    fun `the window opens by answers in time and closes by slow ones`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val pace = paceAmong(case.routers).apply { begin(PaceCause.ADDED, MonotonicTime(0)) }
            case.answers.forEach { pace.answer(ratio = it, sentAt = case.at) }
            assertEquals(case.isLimited, pace.isLimited)
            if (case.isLimited) assertEquals(case.roomFor, roomOf(pace))
        }
    }

    private val failures = listOf<Pair<String, (TargetLoad) -> Unit>>(
        "an error response" to { it.recordErrorResponse(MonotonicTime(400)) },
        "a refusal for overload" to { it.recordOverload(MonotonicTime(400)) },
        "a lost connection" to { it.recordConnectionFailure(MonotonicTime(400)) },
    )

    @TestFactory
    fun `failures close the window but never below one`(): List<DynamicTest> = failures.map { (name, fail) ->
        DynamicTest.dynamicTest(name) {
            val load = TargetLoad(placementEntry("target"), sharingAmong(1))
            load.pace.begin(PaceCause.ADDED, MonotonicTime(0))
            load.pace.answer(ratio = 1.0)
            assertEquals(6, roomOf(load.pace))
            repeat(5) { fail(load) }
            assertEquals(1, roomOf(load.pace))
        }
    }

    @Test
    fun `each end of a pause or suspicion begins a pace, and an early answer ends the wait`() {
        val load = TargetLoad(placementEntry("target"), sharingAmong(80))
        load.availability = load.availability.withPause(500, spread = 0.0, MonotonicTime(0))
        assertTrue(load.pace.isLimited)
        repeat(2) { load.pace.answer(ratio = 1.0, sentAt = 10_000) }
        assertFalse(load.pace.isLimited)
        load.recordConnectionFailure(MonotonicTime(11_000))
        assertTrue(load.pace.isLimited)
        load.recordSuccess(MonotonicTime(11_010))
        repeat(2) { load.pace.answer(ratio = 1.0, sentAt = 11_020) }
        assertFalse(load.pace.isLimited)
    }

    @Test
    fun `answers to requests that were sent before the return don't count`() {
        val pace = paceAmong(1).apply { begin(PaceCause.ADDED, MonotonicTime(10_000)) }
        repeat(20) { pace.answer(ratio = 1.0, sentAt = 9_000) }
        assertEquals(4, roomOf(pace))
    }

    @Test
    fun `every router gets its turn, a quarter of the slots at once first and never many more than the slots`() {
        val routers = List(80) { paceAmong(80, self = it).apply { begin(PaceCause.ADDED, MonotonicTime(0)) } }
        val senders = (0..20).map { round -> routers.count { it.isOpen(0, MonotonicTime(round * 100L)) } }
        assertEquals(listOf(4, 8, 16, 20, 24), senders.take(5))
        assertEquals(80, senders.last())
    }

    @Test
    fun `routers that disagree on how many they are keep near the same order`() {
        val routers = List(80) { self ->
            paceAmong(if (self % 2 == 0) 80 else 60, self).apply { begin(PaceCause.ADDED, MonotonicTime(0)) }
        }
        val first = routers.count { it.isOpen(0, MonotonicTime(0)) }
        assertTrue(first in 2..8, "$first of 80 routers send at once")
        assertEquals(80, routers.count { it.isOpen(0, MonotonicTime(2_000)) })
    }

    private val repeats = listOf<Triple<String, List<PaceCause>, (TargetLoad) -> Unit>>(
        Triple("40 requests fail at once", listOf(PaceCause.SUSPICION_ENDED)) { load ->
            repeat(40) { load.recordConnectionFailure(MonotonicTime(it.toLong())) }
        },
        Triple("requests fail on a target that was added", listOf(PaceCause.ADDED)) { load ->
            load.pace.begin(PaceCause.ADDED, MonotonicTime(0))
            repeat(5) { load.recordConnectionFailure(MonotonicTime(it.toLong())) }
        },
        Triple("cold and warm 100 times in a second", listOf(PaceCause.COLD)) { load ->
            repeat(200) {
                val coldUntil = MonotonicTime(if (it % 2 == 0) 9_000 else 0)
                load.pace.isWithinCeiling(coldUntil, MonotonicTime(it * 5L))
            }
        },
        Triple("cold, and warm after two seconds", listOf(PaceCause.COLD, PaceCause.COLD_ENDED)) { load ->
            load.pace.isWithinCeiling(MonotonicTime(2_000), MonotonicTime(0))
            load.pace.isWithinCeiling(MonotonicTime(2_000), MonotonicTime(2_000))
        },
    )

    @TestFactory
    fun `a pace begins once for what happens many times`(): List<DynamicTest> = repeats.map { (name, causes, happen) ->
        DynamicTest.dynamicTest(name) {
            val began = ArrayList<PaceCause>()
            val sharing = PaceSharing(onChange = { if (it.kind == BEGAN) began += it.cause })
            val load = TargetLoad(placementEntry("target"), sharing)
            happen(load)
            assertEquals(causes, began)
            assertTrue(load.pace.isLimited)
        }
    }

    @Test
    fun `the pace doesn't end while the target is cold`() {
        val pace = paceAmong(1)
        pace.isWithinCeiling(MonotonicTime(5_000), MonotonicTime(0))
        repeat(60) { pace.answer(ratio = 1.0, sentAt = 100) }
        assertTrue(pace.isLimited)
        pace.isWithinCeiling(MonotonicTime(5_000), MonotonicTime(5_000))
        pace.answer(ratio = 1.0, sentAt = 5_010)
        assertFalse(pace.isLimited)
    }

    @Test
    fun `a request that connects has claimed the share of a cold target until it is sent or ends`() {
        val self = InstanceId("router-0")
        val load = TargetLoad(placementEntry("a"), PaceSharing(self, { setOf(self) }, { ColdCeiling(1.0, 1.5, 5.0) }))
        load.coldUntil = MonotonicTime(9_000)
        assertTrue(load.isOpen(MonotonicTime(0)))
        val claim = load.pace.claim()
        assertFalse(load.isOpen(MonotonicTime(1)), "another request would not be sent")
        assertTrue(load.mayBeSent(MonotonicTime(1)), "the one that has claimed it is sent")
        repeat(2) { claim.giveBack() }
        load.pace.claim().giveBack()
        assertTrue(load.isOpen(MonotonicTime(2)))
        load.coldUntil = MonotonicTime.distantPast
        load.pace.claim()
        assertTrue(load.isOpen(MonotonicTime(3)), "a warm target has no shares")
    }

    private class Choice(val name: String, val chosen: String?, val change: (List<TargetLoad>) -> Unit)

    private val choices = listOf(
        Choice("all are usual", chosen = "a") {},
        Choice("the first has returned and it isn't this router's turn", chosen = "b") { returns(it.take(1)) },
        Choice("all have returned", chosen = "a") { returns(it) },
        Choice("the first has returned, the other is full by its report", chosen = "a") {
            returns(it.take(1))
            it.last().recordLoadReport(running = 16, waiting = 0, now = MonotonicTime(0))
        },
        Choice("the first has returned, the other is full of this router's requests", chosen = "a") {
            returns(it.take(1))
            repeat(9) { _ -> it.last().recordSent(null, 0.0, 100.0, MonotonicTime(0)) }
            it.last().recordLoadReport(running = 16, waiting = 0, now = MonotonicTime(0))
        },
        Choice("the first has returned, the other has one slot free", chosen = "b") {
            returns(it.take(1))
            it.last().recordLoadReport(running = 15, waiting = 0, now = MonotonicTime(0))
        },
        Choice("the first is cold and this router has no share", chosen = "b") { cools(it.take(1)) },
        Choice("all are cold and this router has no share", chosen = null) { cools(it) },
    )

    @TestFactory
    fun `targets held back for their pace are the last choice, and cold ones without a share none`() =
        choices.map { choice ->
            DynamicTest.dynamicTest(choice.name) {
                val loads = listOf("a", "b").map { id -> TargetLoad(placementEntry(id), sharingWithoutTurn(id)) }
                choice.change(loads)
                val placement = PlacementPolicy.choose(loads, null, null, emptySet(), 10, MonotonicTime(0))
                assertEquals(choice.chosen, placement?.target?.entry?.id?.value)
            }
        }

    private fun returns(loads: List<TargetLoad>) = loads.forEach { it.pace.begin(PaceCause.ADDED, MonotonicTime(0)) }

    private fun cools(loads: List<TargetLoad>) = loads.forEach { it.coldUntil = MonotonicTime(1_000) }

    /** Returns the view of a router that comes after more than 10 of 80 others in the order for the target [id]. */
    private fun sharingWithoutTurn(id: String): PaceSharing {
        val routers = List(80) { InstanceId("router-$it") }.toSet()
        return routers.map { self -> PaceSharing(self, { routers }, { ColdCeiling(11.0, 1.5, 5.0) }) }
            .first { it.placeOf(TargetId(id), routers).position > 10 }
            .also { sharing -> repeat(100) { sharing.recordSent(MonotonicTime(-it.toLong())) } }
    }

    private fun paceAmong(count: Int, self: Int = 0) = TargetPace(TargetId("target"), {
        SLOTS
    }, sharingAmong(count, self))

    private fun sharingAmong(count: Int, self: Int = 0, requestsPerSecond: Int = 400): PaceSharing {
        val routers = List(count) { InstanceId("router-$it") }.toSet()
        return PaceSharing(InstanceId("router-$self"), { routers }).also { sharing ->
            repeat(requestsPerSecond * 2) { sharing.recordSent(MonotonicTime(it * 1_000L / requestsPerSecond - 2_000)) }
        }
    }

    /** Answers a request that was expected to take 1 s, so that the smoothing of short times matters little. */
    private fun TargetPace.answer(ratio: Double, sentAt: Long = 600) {
        val request = InFlightRequest(0.0, 0, EXPECTED_MILLISECONDS, MonotonicTime(sentAt))
        recordAnswer(request, EXPECTED_MILLISECONDS * ratio, MonotonicTime(sentAt + 100))
    }

    private fun roomOf(pace: TargetPace): Int = (0..1_000).first { !pace.isOpen(it, MonotonicTime(1_000_000)) }

    private companion object {
        const val SLOTS = 16
        const val EXPECTED_MILLISECONDS = 1_000.0
    }
}
