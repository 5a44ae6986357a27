package org.heatherwind.core.overload

import org.heatherwind.core.identity.MonotonicTime

/**
 * Whether a router should get new connections, and whether the load balancer, which asks at intervals, has noticed that
 * it should not. Confined to one thread.
 *
 * @param answersUntilRemoved answers in a row that the router is not ready, after which it gets no new connections
 */
public class RotationState(private val answersUntilRemoved: Int) {
    private var unreadyUntil = MonotonicTime.distantPast
    private var unreadyAnswers = 0

    /** Whether new connections of callers reach other routers. */
    public val isRemoved: Boolean get() = unreadyAnswers >= answersUntilRemoved

    /** Answers that are missing until the router is removed. */
    public val missingAnswers: Int get() = (answersUntilRemoved - unreadyAnswers).coerceAtLeast(0)

    /** Records that the router is overloaded at [now]. */
    public fun recordOverload(now: MonotonicTime) {
        unreadyUntil = now.plusMilliseconds(UNREADY_MILLISECONDS)
    }

    /** Returns whether the router is, or was a moment before [now], overloaded. */
    public fun isOverloaded(now: MonotonicTime): Boolean = now < unreadyUntil

    /** Records what the load balancer was told. */
    public fun recordAnswer(isReady: Boolean) {
        unreadyAnswers = if (isReady) 0 else unreadyAnswers + 1
    }

    private companion object {
        /** Callers that went to other routers stay there as long as they keep their connections. */
        const val UNREADY_MILLISECONDS = 10_000L
    }
}
