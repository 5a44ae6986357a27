package org.heatherwind.core.placement

import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.work.TokenDemand
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.PriorityQueue
import kotlin.math.abs
import kotlin.math.roundToLong
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given targets of unusual speed, when a request is placed, then its prediction is about what it takes. */
class PredictionTest {
    private class Case(val name: String, val speed: Double, val load: Double)

    private val cases = listOf(
        Case("usual speed, half of the time at work", speed = 1.0, load = 0.5),
        Case("slow, half of the time at work", speed = 0.6, load = 0.5),
        Case("slow, hardly at work", speed = 0.6, load = 0.1),
        Case("fast, half of the time at work", speed = 1.6, load = 0.5),
        Case("fast, most of the time at work", speed = 1.6, load = 0.8),
    )

    // Guards against admission that refuses what would be in time, or lets in what is lost.
    @TestFactory
    fun `predictions of generations are near what a target takes`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val errors = errorsOf(case).sorted()
            val median = errors[errors.size / 2]
            assertTrue(median < 0.2, "median error $median of seed $SEED")
        }
    }

    private fun errorsOf(case: Case): List<Double> {
        val random = Random(SEED)
        val load = ToyTarget.loads(1).single()
        val target = ToyTarget(case.speed)
        val pending = ArrayList<Pair<Long, InFlightRequest>>()
        val prefill = PrefillTime.millisecondsOf(tokens.prompt, tokens.prompt)
        var at = 0L
        return List(120) {
            at += (prefill / case.speed / case.load * (0.5 + random.nextDouble())).roundToLong()
            pending.filter { it.first <= at }.forEach { (end, request) ->
                load.recordFirstEvent(request, MonotonicTime(end))
                load.recordEnded(request)
            }
            pending.removeAll { it.first <= at }
            val now = MonotonicTime(at)
            val placement = checkNotNull(PlacementPolicy.choose(listOf(load), engine, tokens, emptySet(), 99, now))
            val request = load.recordSent(tokens, placement.prefillMilliseconds, placement.expectedMilliseconds, now)
            val end = target.read(tokens, at).roundToLong()
            pending += end to request
            abs(placement.predictedMilliseconds - (end - at)) / (end - at)
        }.drop(20)
    }

    @Test
    fun `a plain call on a full target waits for its turn`() {
        val load = ToyTarget.loads(1, slots = 6).single()
        repeat(30) { observePlainCall(load, at = it * 100L, milliseconds = 40) }
        val now = MonotonicTime(3_100)
        assertEquals(40.0, predictPlainCall(load, now), 8.0)
        repeat(17) { load.recordSent(null, 0.0, 100.0, now) }
        assertEquals(120.0, predictPlainCall(load, now), 40.0)
    }

    // Guards against each router of a large fleet learning alone from its hundredth of the requests.
    @Test
    fun `the speed that other routers have learned is known without own requests`() {
        val (learned, told) = ToyTarget.loads(2).map { it.learnedSlowness }
        val now = MonotonicTime(0)
        repeat(3) { learned.observe(200.0, 400.0, now) }
        repeat(6) { told.recordStated(checkNotNull(learned.ownFactor(now)), "router-$it", now) }
        assertTrue(told.factor(now) in 1.4..2.0, "${told.factor(now)}")
        assertEquals(null, told.ownFactor(now), "what others state is not stated again")
        listOf(Double.NaN, 0.0, -1.0, Double.POSITIVE_INFINITY).forEach { told.recordStated(it, "router-0", now) }
        val before = told.factor(now)
        repeat(100) { told.recordStated(checkNotNull(learned.ownFactor(now)), "router-0", now) }
        assertEquals(before, told.factor(now), 1e-9, "what one router repeats is no more evidence")
        repeat(100) { told.recordStated(1e9, "router-$it", now) }
        assertTrue(told.factor(now) in 2.0..3.0, "${told.factor(now)}")
    }

    // Guards against a passing trouble that keeps requests away from a target long after it.
    @Test
    fun `a target that was slow for five seconds has its share of requests again within some seconds`() {
        val shares = listOf(20L, 22L, 25L, 50L).associateWith { shareAfterTrouble(intervalMilliseconds = it) }
        println("share of requests 3 to 8 s after the trouble, by interval: $shares (seed $SEED)")
        assertTrue(shares.getValue(20) >= 0.125, "half of the target's part of a quarter: $shares")
    }

    @Test
    fun `ten answers at the usual speed outweigh what was learned in a trouble`() {
        val slowness = ToyTarget.loads(1).single().learnedSlowness
        repeat(50) { slowness.observe(200.0, 800.0, MonotonicTime(it * 100L)) }
        repeat(10) { slowness.observe(200.0, 200.0, MonotonicTime(5_000 + it * 100L)) }
        val factor = slowness.factor(MonotonicTime(6_000))
        assertTrue(factor <= 1.3, "$factor is further off than predictions commonly are")
    }

    private fun shareAfterTrouble(intervalMilliseconds: Long): Double {
        val random = Random(SEED)
        val loads = ToyTarget.loads(4, reluctance = random::nextDouble)
        val answers = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
        val chosen = ArrayList<Boolean>()
        for (at in 0L until 13_000L step intervalMilliseconds) {
            while (answers.isNotEmpty() && answers.peek().first <= at) answers.remove().second()
            val now = MonotonicTime(at)
            val tokens = TokenDemand(prompt = 6_000, maximumOutput = 300)
            val placement = checkNotNull(PlacementPolicy.choose(loads, ToyFleet.engine, tokens, emptySet(), 99, now))
            val target = placement.target
            val request = target.recordSent(tokens, placement.prefillMilliseconds, placement.expectedMilliseconds, now)
            val isTroubled = target === loads.first()
            val end = at + (placement.expectedMilliseconds * if (isTroubled && at < 5_000) 3 else 1).toLong()
            answers += end to {
                target.recordFirstEvent(request, MonotonicTime(end))
                target.recordEnded(request)
            }
            if (at >= 8_000) chosen += isTroubled
        }
        return chosen.count { it }.toDouble() / chosen.size
    }

    private val unsettled = listOf<Pair<String, (TargetLoad) -> Unit>>(
        "it has just started" to { it.pace.begin(PaceCause.ADDED, MonotonicTime(0)) },
        "it is cold" to { it.coldUntil = MonotonicTime(60_000) },
        "it was cold when the requests were sent" to { it.coldUntil = MonotonicTime(100) },
    )

    @TestFactory
    fun `no speed is learned from a target that is not itself`(): List<DynamicTest> = unsettled.map { (name, change) ->
        DynamicTest.dynamicTest(name) {
            val load = ToyTarget.loads(1).single().also(change)
            repeat(10) {
                val request = load.recordSent(null, 0.0, expectedMilliseconds = 100.0, now = MonotonicTime(50))
                load.recordFirstEvent(request, MonotonicTime(900))
            }
            assertEquals(1.0, load.learnedSlowness.factor(MonotonicTime(900)))
        }
    }

    private fun observePlainCall(load: TargetLoad, at: Long, milliseconds: Long) {
        val placement = checkNotNull(choosePlain(load, MonotonicTime(at)))
        val sent = load.recordSent(null, 0.0, placement.expectedMilliseconds, MonotonicTime(at))
        load.recordFirstEvent(sent, MonotonicTime(at + milliseconds))
        load.recordEnded(sent)
    }

    private fun predictPlainCall(load: TargetLoad, now: MonotonicTime) =
        checkNotNull(choosePlain(load, now)).predictedMilliseconds

    private fun choosePlain(load: TargetLoad, now: MonotonicTime) =
        PlacementPolicy.choose(listOf(load), null, null, emptySet(), connectionsPerTarget = 99, now)

    private companion object {
        const val SEED = 38
        val engine = EngineProfile(slots = 16, cacheCapacityTokens = 392_254, tokensPerEvent = 11)
        val tokens = TokenDemand(prompt = 8_000, maximumOutput = 300)
    }
}
