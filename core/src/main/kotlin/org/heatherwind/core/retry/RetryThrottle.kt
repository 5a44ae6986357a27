package org.heatherwind.core.retry

import org.heatherwind.core.identity.MonotonicTime

/**
 * This router's part of the fleet's allowance for further sends of a request to a service.
 *
 * Each first send earns a part of a further send; the free ones are divided equally. Sends are counted in slots of a
 * tenth of the window, so that every span of that length keeps the bound.
 */
public class RetryThrottle(private val bounds: RetryThrottleLimits) {
    private val firstSends = SlidingCount(bounds.windowMilliseconds)
    private val furtherSends = SlidingCount(bounds.windowMilliseconds)

    /** Counts the first send of a request at [now]. */
    public fun recordFirstAttempt(now: MonotonicTime) {
        firstSends.add(now)
    }

    /** Takes one further send at [now], or false when this router's part among [routers] is used up. */
    public fun tryAcquire(now: MonotonicTime, routers: Int): Boolean {
        val free = bounds.base / routers.coerceAtLeast(1)
        val isWithin = furtherSends.sum(now) + 1 <= free + bounds.ratio * firstSends.sum(now)
        if (isWithin) furtherSends.add(now)
        return isWithin
    }
}

/** Counts events of the last [windowMilliseconds] in ten slots. */
internal class SlidingCount(private val windowMilliseconds: Long) {
    private val slots = ArrayDeque<Slot>()

    fun add(now: MonotonicTime) {
        val index = indexOf(now)
        val last = slots.lastOrNull()
        if (last != null && last.index == index) last.count++ else slots.addLast(Slot(index, count = 1))
        expire(now)
    }

    fun sum(now: MonotonicTime): Int {
        expire(now)
        return slots.sumOf { it.count }
    }

    private fun expire(now: MonotonicTime) {
        val oldest = indexOf(now) - SLOTS
        while (slots.isNotEmpty() && slots.first().index < oldest) slots.removeFirst()
    }

    private fun indexOf(now: MonotonicTime): Long = Math.floorDiv(now.milliseconds, windowMilliseconds / SLOTS)

    private class Slot(val index: Long, var count: Int)

    private companion object {
        const val SLOTS = 10
    }
}
