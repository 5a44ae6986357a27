package org.heatherwind.gateway.serve

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.retry.RetryThrottleLimits
import org.heatherwind.gateway.state.RetryThrottles
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given a request that waited for a target, when it found one, then it is sent only if that is still allowed. */
class SendPermissionTest {
    /**
     * @property steps what happens: l looks, s is to be sent, b its content is blocked meanwhile
     * @property retriesLeft of two
     */
    private class Case(val name: String, val steps: String, val isFirst: Boolean, val sends: Int, val retriesLeft: Int)

    private val cases = listOf(
        Case("a first send", "ls", isFirst = true, sends = 1, retriesLeft = 2),
        Case("blocked while a first send waits", "lbs", isFirst = true, sends = 0, retriesLeft = 2),
        Case("a further send", "ls", isFirst = false, sends = 1, retriesLeft = 1),
        Case("refused after its wait", "llll", isFirst = false, sends = 0, retriesLeft = 2),
        Case("blocked while a further send waits", "lbs", isFirst = false, sends = 0, retriesLeft = 2),
        Case("more sends than retries", "lslsls", isFirst = false, sends = 2, retriesLeft = 0),
    )

    @TestFactory
    fun `given a request in its wait`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val retries = RetryThrottles(LIMITS) { 1 }
            var isBlocked = false
            val permission = SendPermission(SERVICE, retries, { MonotonicTime(0) }) { isBlocked }
            var sends = 0
            for (step in case.steps) {
                when (step) {
                    'l' -> permission.mayLook(case.isFirst)
                    's' -> if (permission.tryAcquire(case.isFirst)) sends++
                    'b' -> isBlocked = true
                }
            }
            assertEquals(case.sends, sends)
            assertEquals(case.retriesLeft, (1..3).count { retries.tryAcquire(SERVICE, MonotonicTime(0)) })
        }
    }

    private companion object {
        val SERVICE = ServiceId("pool")
        val LIMITS = RetryThrottleLimits(ratio = 0.0, base = 2.0, windowMilliseconds = 10_000)
    }
}
