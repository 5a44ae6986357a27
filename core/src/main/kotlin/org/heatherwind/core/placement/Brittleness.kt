package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/**
 * What one router may send to a target that states that it falls over when it has to refuse more than some requests a
 * second. All routers together then send only into places that are known to be free, and what they risk beyond that is
 * bounded by what the target bears. Confined to one thread.
 *
 * @param routers returns the number of routers that send to the target
 */
public class Brittleness(private val routers: () -> Int = { 1 }) {
    private var sentSinceReport = 0
    private var reportedAt = MonotonicTime.distantPast
    private var pausedUntil = MonotonicTime.distantPast
    private var nextTrialAt = MonotonicTime.distantPast

    /** Share of the slots left free since the target has refused, as of [refusedAt]. */
    private var addedShare = 0.0
    private var refusedAt = MonotonicTime.distantPast

    /** The refusals per second that the target bears, or null if it does not state that it is brittle. */
    public var bearableRefusals: Long? = null
        private set

    /** Records what an answer of the target states. Returns whether that is new. */
    public fun recordStated(refusalsPerSecond: Long?): Boolean {
        if (refusalsPerSecond == bearableRefusals) return false
        bearableRefusals = refusalsPerSecond
        return true
    }

    internal fun recordSent(now: MonotonicTime) {
        sentSinceReport++
        postponeTrial(now)
    }

    /** Records that the target has reported its load: what was sent before is part of it. */
    internal fun recordReport(now: MonotonicTime) {
        sentSinceReport = 0
        reportedAt = now
    }

    internal fun recordRefused(now: MonotonicTime) {
        if (bearableRefusals == null) return
        postponeTrial(now)
        pausedUntil = minOf(nextTrialAt, now.plusMilliseconds(LONGEST_PAUSE_MILLISECONDS))
        recordRefusedElsewhere(now)
    }

    /** Records that the target has refused a request of another router. */
    public fun recordRefusedElsewhere(now: MonotonicTime) {
        addedShare = minOf(addedShareAt(now) + SHARE_PER_REFUSAL, LARGEST_ADDED_SHARE)
        refusedAt = now
    }

    private fun addedShareAt(now: MonotonicTime): Double {
        val age = now.millisecondsSince(refusedAt)
        return addedShare * (1 - age.toDouble() / MEMORY_MILLISECONDS).coerceAtLeast(0.0)
    }

    /**
     * Returns whether the target may get a request at [now].
     *
     * @param slots requests that the target runs at once
     * @param inFlight requests of this router at the target
     * @param others requests of other routers at the target, running or waiting, as last reported
     */
    internal fun isOpen(slots: Int, inFlight: Int, others: Double, now: MonotonicTime): Boolean {
        if (bearableRefusals == null) return true
        if (now < pausedUntil) return false
        val routers = routers().coerceAtLeast(1)
        val free = slots - inFlight - others
        val reserve = minOf(slots * RESERVED_SHARE, routers / 2.0) + slots * addedShareAt(now) +
            minOf(slots, routers) * unknownShareAt(now)
        val share = maxOf(free / routers, 1.0)
        val isKnownToBeFree = free >= maxOf(reserve, 1.0) && sentSinceReport < share
        return isKnownToBeFree || (inFlight == 0 && now >= nextTrialAt)
    }

    /** Returns the share of the other routers that may have sent a request since the last report. */
    private fun unknownShareAt(now: MonotonicTime): Double {
        val age = now.millisecondsSince(reportedAt).coerceAtMost(REPORT_LIFETIME_MILLISECONDS)
        return LARGEST_UNKNOWN_SHARE * age / REPORT_LIFETIME_MILLISECONDS
    }

    /** Trials of all routers together are at most as many as the refusals that the target bears. */
    private fun postponeTrial(now: MonotonicTime) {
        val bearable = bearableRefusals ?: return
        val interval = when (bearable) {
            0L -> LONGEST_INTERVAL_MILLISECONDS
            else -> routers() * MILLISECONDS_PER_SECOND / bearable
        }
        nextTrialAt = now.plusMilliseconds(interval.coerceIn(MILLISECONDS_PER_SECOND, LONGEST_INTERVAL_MILLISECONDS))
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Share of the slots that is always left free, since a report is older than what others have sent. */
        const val RESERVED_SHARE = 0.04

        const val LARGEST_UNKNOWN_SHARE = 0.3
        const val REPORT_LIFETIME_MILLISECONDS = 2_000L

        /** Added for each refusal, which shows that the target lets fewer wait than others have sent. */
        const val SHARE_PER_REFUSAL = 0.03
        const val LARGEST_ADDED_SHARE = 0.09

        /** A target may let more wait again after this time. */
        const val MEMORY_MILLISECONDS = 5_000L

        /** A target may be brittle for seconds only. */
        const val LONGEST_INTERVAL_MILLISECONDS = 10_000L
        const val LONGEST_PAUSE_MILLISECONDS = 2_000L
    }
}
