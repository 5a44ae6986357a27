package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/** What this router's requests have shown of a target's failures. Confined to one thread. */
public class TargetHealth {
    private var consecutiveFailures: Int = 0
    private var lastFailureScore: Double = 0.0
    private var lastFailureScoreAt: MonotonicTime = MonotonicTime.distantPast

    /** Until this time the target gets requests only if no unsuspected target is available. */
    public var suspectedUntil: MonotonicTime = MonotonicTime.distantPast
        private set

    /** Until when the target is taken for full, since it has rejected a request for overload. */
    public var overloadedUntil: MonotonicTime = MonotonicTime.distantPast
        private set

    /** Returns whether the target should get no requests at [now] while another target is available. */
    public fun isSuspected(now: MonotonicTime): Boolean = now < suspectedUntil

    /** Returns the weighted number of recent failures, which decays with time and with each success. */
    public fun failureScore(now: MonotonicTime): Double {
        val age = now.millisecondsSince(lastFailureScoreAt)
        if (age > FAILURE_LIFETIME_MILLISECONDS) return 0.0
        return lastFailureScore * (1 - age.toDouble() / FAILURE_LIFETIME_MILLISECONDS)
    }

    internal fun recordSuccess(now: MonotonicTime) {
        consecutiveFailures = 0
        endOverload()
        suspectedUntil = MonotonicTime.distantPast
        lastFailureScore = failureScore(now) * SUCCESS_RETENTION
        lastFailureScoreAt = now
    }

    internal fun recordErrorResponse(now: MonotonicTime) {
        lastFailureScore = failureScore(now) + 1
        lastFailureScoreAt = now
    }

    internal fun recordOverload(now: MonotonicTime) {
        overloadedUntil = now.plusMilliseconds(OVERLOAD_PAUSE_MILLISECONDS)
        suspectedUntil = maxOf(suspectedUntil, overloadedUntil)
    }

    /** Lifts the closure after a rejection, since the target has shown that it has places again. */
    internal fun endOverload() {
        if (suspectedUntil == overloadedUntil) suspectedUntil = MonotonicTime.distantPast
        overloadedUntil = MonotonicTime.distantPast
    }

    internal fun recordConnectionFailure(now: MonotonicTime) {
        consecutiveFailures++
        recordErrorResponse(now)
        val doublings = (consecutiveFailures - 1).coerceAtMost(MAXIMUM_SUSPICION_DOUBLINGS)
        suspectedUntil = now.plusMilliseconds(INITIAL_SUSPICION_MILLISECONDS shl doublings)
    }

    private companion object {
        /** Short, so that a single failure diverts few requests and a recovery is detected soon. */
        const val INITIAL_SUSPICION_MILLISECONDS = 400L
        const val MAXIMUM_SUSPICION_DOUBLINGS = 3

        /** A slot usually becomes free within some tens of milliseconds. */
        const val OVERLOAD_PAUSE_MILLISECONDS = 60L

        /** Share of the failure score that remains after a success. */
        const val SUCCESS_RETENTION = 0.8

        /** Older failures do not indicate the target's present state. */
        const val FAILURE_LIFETIME_MILLISECONDS = 6_000L
    }
}
