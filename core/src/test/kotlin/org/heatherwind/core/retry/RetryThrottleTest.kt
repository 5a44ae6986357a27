package org.heatherwind.core.retry

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given an allowance for further sends, when sends come at any pace, then each window keeps the bound. */
class RetryThrottleTest {
    private class Case(val name: String, val firstSends: Int, val base: Double, val routers: Int = 1, val granted: Int)

    private val cases = listOf(
        Case("nothing sent", firstSends = 0, base = 0.0, granted = 0),
        Case("the base alone", firstSends = 0, base = 3.0, granted = 3),
        Case("a share of first sends", firstSends = 20, base = 0.0, granted = 4),
        Case("both", firstSends = 20, base = 3.0, granted = 7),
        Case("the base divided among three routers", firstSends = 20, base = 6.0, routers = 3, granted = 6),
        Case("a base smaller than the fleet", firstSends = 0, base = 3.0, routers = 60, granted = 0),
    )

    @TestFactory
    fun `further sends are granted`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val throttle = RetryThrottle(RetryThrottleLimits(RATIO, case.base, WINDOW))
            repeat(case.firstSends) { throttle.recordFirstAttempt(MonotonicTime(0)) }
            assertEquals(case.granted, (1..100).count { throttle.tryAcquire(MonotonicTime(1), case.routers) })
        }
    }

    @TestFactory
    fun `every window keeps the bound`(): List<DynamicTest> = (1..20).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val random = Random(seed)
            val throttle = RetryThrottle(RetryThrottleLimits(RATIO, base = 5.0, windowMilliseconds = WINDOW))
            val firsts = mutableListOf<Long>()
            val furthers = mutableListOf<Long>()
            var now = 0L
            repeat(3_000) {
                now += random.nextLong(40)
                if (random.nextBoolean()) {
                    throttle.recordFirstAttempt(MonotonicTime(now))
                    firsts += now
                } else if (throttle.tryAcquire(MonotonicTime(now), routers = 1)) {
                    furthers += now
                }
            }
            furthers.forEach { end ->
                val sent = furthers.count { it in end - WINDOW + 1..end }
                val earned = firsts.count { it in end - WINDOW - WINDOW / 10..end }
                assertTrue(sent <= 5 + RATIO * earned, "$sent further sends beside $earned first ones")
            }
        }
    }

    private companion object {
        const val RATIO = 0.2
        const val WINDOW = 10_000L
    }
}
