package org.heatherwind.core.admission

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.work.WorkRequest

/**
 * Decides when the caller of a refused request is to come back: when room is expected, and not with all others. The
 * spread depends on the request's ID alone, so it differs between callers and between routers.
 */
public object RetryAfterPolicy {
    /**
     * Returns the milliseconds after which the caller of [work] is to come back.
     *
     * @param roomMilliseconds expected time until there is room
     * @param opensAt when the targets have stated that the first of them takes requests again, or null
     */
    public fun milliseconds(
        work: WorkRequest,
        roomMilliseconds: Long,
        opensAt: MonotonicTime?,
        now: MonotonicTime,
    ): Long {
        val expected = roomMilliseconds.coerceAtLeast(MINIMUM_MILLISECONDS)
        val spread = (expected * (1 + spreadOf(work.id))).toLong()
        val longest = work.deadline.millisecondsSince(now) / HONOURED_DIVISOR
        val estimated = minOf(spread, longest).coerceAtLeast(MINIMUM_MILLISECONDS)
        // A time that the targets have stated holds for a caller with more time than this router knows of.
        val stated = opensAt?.millisecondsSince(now)?.let { it + (minOf(it, expected) * spreadOf(work.id)).toLong() }
        return maxOf(estimated, stated ?: 0)
    }

    /** Returns a number from 0 to 1 that is spread evenly over IDs. */
    private fun spreadOf(id: String): Double =
        Math.floorMod(id.hashCode() * HASH_MULTIPLIER ushr HASH_SHIFT, SPREAD_STEPS) / SPREAD_STEPS.toDouble()

    /** A caller that returns at once would meet the same targets in the same state. */
    private const val MINIMUM_MILLISECONDS = 50L

    /** Callers honour at most this part of the time that they have left. */
    private const val HONOURED_DIVISOR = 3

    /** Distributes IDs that differ little. */
    private const val HASH_MULTIPLIER = -0x61c88647
    private const val HASH_SHIFT = 16
    private const val SPREAD_STEPS = 1_000
}
