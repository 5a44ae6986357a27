package org.heatherwind.core.placement

import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.work.TokenDemand
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.math.abs
import kotlin.math.roundToLong
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given targets of other than the usual speed, when a request is placed, then its prediction is about what it takes. */
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
        repeat(6) { told.recordStated(checkNotNull(learned.ownFactor(now)), now) }
        assertTrue(told.factor(now) in 1.4..2.0, "${told.factor(now)}")
        assertEquals(null, told.ownFactor(now), "what others state is not stated again")
        listOf(Double.NaN, 0.0, -1.0, Double.POSITIVE_INFINITY).forEach { told.recordStated(it, now) }
        repeat(100) { told.recordStated(1e9, now) }
        assertTrue(told.factor(now) in 2.0..3.0, "${told.factor(now)}")
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
