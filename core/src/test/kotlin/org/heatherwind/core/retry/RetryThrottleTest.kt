package org.heatherwind.core.retry

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given a limit on retries, when attempts are made at any rate, then no window exceeds the limit. */
class RetryThrottleTest {
    private class Case(
        val name: String,
        val firstAttempts: Int,
        val base: Double,
        val routers: Int = 1,
        val expectedRetries: Int,
    )

    private val cases = listOf(
        Case("no attempts", firstAttempts = 0, base = 0.0, expectedRetries = 0),
        Case("the base alone", firstAttempts = 0, base = 3.0, expectedRetries = 3),
        Case("a share of first attempts", firstAttempts = 20, base = 0.0, expectedRetries = 4),
        Case("both", firstAttempts = 20, base = 3.0, expectedRetries = 7),
        Case("the base divided among three routers", firstAttempts = 20, base = 6.0, routers = 3, expectedRetries = 6),
        Case("a base below one per router", firstAttempts = 0, base = 3.0, routers = 60, expectedRetries = 0),
    )

    @TestFactory
    fun `the expected number of retries is allowed`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val throttle = RetryThrottle(RetryThrottleLimits(RATIO, case.base, WINDOW_MILLISECONDS))
            repeat(case.firstAttempts) { throttle.recordFirstAttempt(MonotonicTime(0)) }
            assertEquals(case.expectedRetries, (1..100).count { throttle.tryAcquire(MonotonicTime(1), case.routers) })
        }
    }

    @TestFactory
    fun `no window exceeds the limit`(): List<DynamicTest> = (1..20).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val random = Random(seed)
            val limits = RetryThrottleLimits(RATIO, base = 5.0, windowMilliseconds = WINDOW_MILLISECONDS)
            val throttle = RetryThrottle(limits)
            val firstAttemptTimes = mutableListOf<Long>()
            val retryTimes = mutableListOf<Long>()
            var now = 0L
            repeat(3_000) {
                now += random.nextLong(40)
                if (random.nextBoolean()) {
                    throttle.recordFirstAttempt(MonotonicTime(now))
                    firstAttemptTimes += now
                } else if (throttle.tryAcquire(MonotonicTime(now), routers = 1)) {
                    retryTimes += now
                }
            }
            retryTimes.forEach { end ->
                val retries = retryTimes.count { it in end - WINDOW_MILLISECONDS + 1..end }
                val firstAttemptSpan = end - WINDOW_MILLISECONDS - WINDOW_MILLISECONDS / 10..end
                val attempts = firstAttemptTimes.count { it in firstAttemptSpan }
                assertTrue(retries <= 5 + RATIO * attempts, "$retries retries after $attempts first attempts")
            }
        }
    }

    private companion object {
        const val RATIO = 0.2
        const val WINDOW_MILLISECONDS = 10_000L
    }
}
