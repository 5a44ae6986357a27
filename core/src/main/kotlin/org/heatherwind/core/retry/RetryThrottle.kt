package org.heatherwind.core.retry

import org.heatherwind.core.identity.MonotonicTime

/**
 * This router's share of the fleet's limit on retries, that is, on all attempts of a request after its first.
 *
 * Each first attempt allows [RetryThrottleLimits.ratio] of a retry; [RetryThrottleLimits.base] is divided equally among
 * the routers. Attempts are counted in buckets of a tenth of the window, so that the limit holds for every span of the
 * window's length.
 */
public class RetryThrottle(private val limits: RetryThrottleLimits) {
    private val firstAttempts = SlidingWindowCounter(limits.windowMilliseconds)
    private val retries = SlidingWindowCounter(limits.windowMilliseconds)

    /** Counts the first attempt of a request at [now]. */
    public fun recordFirstAttempt(now: MonotonicTime) {
        firstAttempts.add(now)
    }

    /**
     * Counts a retry at [now], unless this router's share among [routers] is exhausted. Returns whether the retry is
     * allowed.
     */
    public fun tryAcquire(now: MonotonicTime, routers: Int): Boolean {
        val isAllowed = isAvailable(now, routers)
        if (isAllowed) retries.add(now)
        return isAllowed
    }

    /** Returns whether [tryAcquire] would succeed at [now] among [routers]. */
    public fun isAvailable(now: MonotonicTime, routers: Int): Boolean {
        val baseShare = limits.base / routers.coerceAtLeast(1)
        return retries.sum(now) + 1 <= baseShare + limits.ratio * firstAttempts.sum(now)
    }
}

/** Counts attempts within the last [windowMilliseconds], in buckets of a tenth of that time. */
internal class SlidingWindowCounter(private val windowMilliseconds: Long) {
    private val buckets = ArrayDeque<Bucket>()

    fun add(now: MonotonicTime) {
        val index = indexOf(now)
        val last = buckets.lastOrNull()
        if (last != null && last.index == index) last.count++ else buckets.addLast(Bucket(index, count = 1))
        removeExpired(now)
    }

    fun sum(now: MonotonicTime): Int {
        removeExpired(now)
        return buckets.sumOf { it.count }
    }

    private fun removeExpired(now: MonotonicTime) {
        val oldest = indexOf(now) - BUCKETS
        while (buckets.isNotEmpty() && buckets.first().index < oldest) buckets.removeFirst()
    }

    private fun indexOf(now: MonotonicTime): Long = Math.floorDiv(now.milliseconds, windowMilliseconds / BUCKETS)

    private class Bucket(val index: Long, var count: Int)

    private companion object {
        const val BUCKETS = 10
    }
}
