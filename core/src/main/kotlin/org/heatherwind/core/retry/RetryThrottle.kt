package org.heatherwind.core.retry

import org.heatherwind.core.identity.MonotonicTime

/**
 * This router's share of the fleet's limit on retries, that is, on all attempts of a request after its first.
 *
 * Each first attempt allows [RetryThrottleLimits.ratio] of a retry; [RetryThrottleLimits.base] is divided equally among
 * the routers. Attempts are counted in slots of a tenth of the window, so that the limit holds for every span of the
 * window's length.
 */
public class RetryThrottle(private val limits: RetryThrottleLimits) {
    private val firstAttempts = SlidingCount(limits.windowMilliseconds)
    private val retries = SlidingCount(limits.windowMilliseconds)

    /** Counts the first attempt of a request at [now]. */
    public fun recordFirstAttempt(now: MonotonicTime) {
        firstAttempts.add(now)
    }

    /**
     * Counts a retry at [now], unless this router's share among [routers] is used up. Returns whether the retry is
     * allowed.
     */
    public fun tryAcquire(now: MonotonicTime, routers: Int): Boolean {
        val baseShare = limits.base / routers.coerceAtLeast(1)
        val isAllowed = retries.sum(now) + 1 <= baseShare + limits.ratio * firstAttempts.sum(now)
        if (isAllowed) retries.add(now)
        return isAllowed
    }
}

/** Counts the events of the last [windowMilliseconds] in slots of a tenth of that time. */
internal class SlidingCount(private val windowMilliseconds: Long) {
    private val slots = ArrayDeque<Slot>()

    fun add(now: MonotonicTime) {
        val index = indexOf(now)
        val last = slots.lastOrNull()
        if (last != null && last.index == index) last.count++ else slots.addLast(Slot(index, count = 1))
        removeExpired(now)
    }

    fun sum(now: MonotonicTime): Int {
        removeExpired(now)
        return slots.sumOf { it.count }
    }

    private fun removeExpired(now: MonotonicTime) {
        val oldest = indexOf(now) - SLOTS
        while (slots.isNotEmpty() && slots.first().index < oldest) slots.removeFirst()
    }

    private fun indexOf(now: MonotonicTime): Long = Math.floorDiv(now.milliseconds, windowMilliseconds / SLOTS)

    private class Slot(val index: Long, var count: Int)

    private companion object {
        const val SLOTS = 10
    }
}
