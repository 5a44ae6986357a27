package org.heatherwind.gateway.serve

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.PlacementPolicy
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.protocol.TargetResponseHead
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Given targets that announce in drawn answers that they leave or want no requests for a time, and restart, and a list
 * of targets that is out of reach at times, then no request is sent against their word.
 */
class TargetNoticesTest {
    /** What the router reads of the targets' answers, and whether it then breaks a rule. */
    private class Case(
        val name: String,
        val breaksRule: Boolean,
        val read: (TargetResponseHead) -> TargetResponseHead = { it },
    )

    private val cases = listOf(
        Case("all that targets state", breaksRule = false),
        Case("without announcements", breaksRule = true) { it.copy(isLeaving = false) },
        Case("without announcements in refusals", breaksRule = true) {
            it.copy(isLeaving = it.isLeaving && !it.isNotRun)
        },
        Case("without times", breaksRule = true) { it.copy(retryAfterSeconds = null) },
        Case("half of the times", breaksRule = true) { it.copy(retryAfterSeconds = it.retryAfterSeconds?.div(2)) },
    )

    // Guards against requests to a target after it has announced that it leaves, or within the time it asked for.
    @TestFactory
    fun `given drawn histories then a router that reads all notices breaks no rule`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val broken = (1..HISTORIES).filter { History(it, case.read).run() > 0 }
                assertEquals(case.breaksRule, broken.isNotEmpty(), "seeds ${broken.take(SEEDS_NAMED)}")
            }
        }

    // Guards against the work of all routers coming back to a target at one moment.
    @Test
    fun `given many routers when a target asks for a time then none returns within it and they return spread`() {
        val opened = (1..ROUTERS).map { seed ->
            val load = TargetLoad(entryOf("t", born = 1))
            TargetNotices({ MonotonicTime(0) }, quietLog, metrics, Random(seed)).record(load, refusal(seconds = 2.0))
            load.availability.closedUntil.millisecondsSince(MonotonicTime(0))
        }
        assertTrue(opened.all { it in 2_000..2_500 }, "$opened")
        val busiest = opened.groupBy { it / 50 }.values.maxOf { it.size }
        assertTrue(busiest <= ROUTERS / 4, "$busiest of $ROUTERS routers return within 50 ms")
    }

    private class BrittleCase(val name: String, val stated: List<Long?>, val bearable: Long?)

    private val brittleCases = listOf(
        BrittleCase("never stated", listOf(null, null), bearable = null),
        BrittleCase("stated", listOf(null, 5L), bearable = 5),
        BrittleCase("stated anew", listOf(5L, 3L), bearable = 3),
        BrittleCase("none bearable", listOf(0L), bearable = 0),
        BrittleCase("no longer stated", listOf(5L, null), bearable = null),
        BrittleCase("malformed after a figure", listOf(5L, -1L), bearable = 5),
    )

    // Guards against a target that is taken for brittle for ever, or that is not although it says so.
    @TestFactory
    fun `given answers when they state how much a target bears then the last figure holds`(): List<DynamicTest> =
        brittleCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val load = TargetLoad(entryOf("t", born = 1))
                val notices = TargetNotices({ MonotonicTime(0) }, quietLog, metrics)
                case.stated.forEach { notices.record(load, success(isLeaving = false).copy(brittleRefusals = it)) }
                assertEquals(case.bearable, load.brittleness.bearableRefusals)
            }
        }

    /** A target as it is, whatever the router knows of it. */
    private class Truth(val id: String) {
        var born = 1L
        var isLeaving = false
        var closedUntil = MonotonicTime.distantPast
        var isListed = true

        /** Whether the list that the router has read contains this life. */
        var isKnown = true
    }

    private class History(seed: Int, private val read: (TargetResponseHead) -> TargetResponseHead) {
        private val random = Random(seed)
        private var now = MonotonicTime(0)
        private val state = FleetState()
        private val notices = TargetNotices({ now }, quietLog, metrics, random)
        private val targets = List(TARGETS) { Truth("t$it") }
        private var isListReachable = true
        private var violations = 0

        fun run(): Int {
            readList()
            repeat(STEPS) { step() }
            return violations
        }

        private fun step() {
            val target = targets.random(random)
            when (random.nextInt(STEP_KINDS)) {
                0, 1 -> now = now.plusMilliseconds(random.nextLong(MAXIMUM_PAUSE_MILLISECONDS))
                2 -> target.isListed = !target.isListed
                3 -> isListReachable = random.nextBoolean()
                4 -> restart(target)
                else -> send()
            }
            if (isListReachable) readList()
        }

        private fun restart(target: Truth) {
            target.born++
            target.isLeaving = false
            target.closedUntil = MonotonicTime.distantPast
            target.isKnown = false
        }

        private fun readList() {
            val listed = targets.filter { it.isListed }
            listed.forEach { it.isKnown = true }
            state.adoptDirectory(state.directory.withEntries(listed.map { entryOf(it.id, it.born) }, now))
        }

        private fun send() {
            val candidates = state.candidatesOf(SERVICE)
            val load = PlacementPolicy.choose(candidates, null, null, emptySet(), CONNECTIONS, now)?.target ?: return
            val target = targets.first { it.id == load.entry.id.value }
            if (target.isLeaving || now < target.closedUntil) violations++
            // An answer does not state which process sent it, so a restart that was not read yet is left out.
            if (target.isKnown) notices.record(load, read(answer(target)))
        }

        private fun answer(target: Truth): TargetResponseHead {
            target.isLeaving = target.isLeaving || random.nextInt(LEAVING_SHARE) == 0
            if (random.nextBoolean()) return success(target.isLeaving)
            val seconds = statedSeconds.random(random)
            if (seconds != null && seconds >= 0) {
                val bounded = minOf(seconds, LONGEST_SECONDS)
                target.closedUntil = now.plusMilliseconds((bounded * MILLISECONDS_PER_SECOND).toLong())
            }
            return refusal(seconds, target.isLeaving)
        }
    }

    private companion object {
        const val HISTORIES = 10_000
        const val SEEDS_NAMED = 5
        const val ROUTERS = 100
        const val TARGETS = 3
        const val STEPS = 40
        const val STEP_KINDS = 10
        const val LEAVING_SHARE = 8
        const val CONNECTIONS = 10
        const val MAXIMUM_PAUSE_MILLISECONDS = 2_000L
        const val MILLISECONDS_PER_SECOND = 1_000
        const val LONGEST_SECONDS = 30.0
        val statedSeconds = listOf(null, 0.0, 0.4, 2.0, 30.0, 7_200.0, -1.0, Double.NaN, Double.POSITIVE_INFINITY)
        val SERVICE = ServiceId("desk")
        val metrics = GatewayMetrics()

        /** The clock stands still, so that the limit on log lines holds for all histories together. */
        val quietLog = DecisionLog(MonotonicClock { MonotonicTime(0) }, metrics)

        fun success(isLeaving: Boolean) = TargetResponseHead(
            status = 200,
            requestId = "r",
            isNotRun = false,
            isMisdirected = false,
            isSigned = true,
            load = null,
            isLeaving = isLeaving,
        )

        fun refusal(seconds: Double?, isLeaving: Boolean = false) = TargetResponseHead(
            status = 503,
            requestId = "r",
            isNotRun = true,
            isMisdirected = false,
            isSigned = false,
            load = null,
            isLeaving = isLeaving,
            retryAfterSeconds = seconds,
        )

        fun entryOf(id: String, born: Long) = TargetEntry(
            id = TargetId(id),
            service = SERVICE,
            host = "10.0.0.1",
            port = 1,
            dataCentre = DataCentreId("a"),
            version = "v1",
            slots = 4,
            isDraining = false,
            startedAtEpochMilliseconds = born,
        )
    }
}
