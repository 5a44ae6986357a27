package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime
import kotlin.math.exp

/**
 * How fast a target works at present, from its own reports. The last report counts while it is fresh; then the mean of
 * the past ones takes its place, which fades to 1 when the target states nothing any more. Confined to one thread.
 */
public class TargetSpeed {
    private var last = 1.0
    private var mean = 1.0
    private var reportedAt = MonotonicTime.distantPast

    /** Whether the target has ever stated its speed. */
    public val isStated: Boolean get() = reportedAt != MonotonicTime.distantPast

    /** Records that the target stated at [now] that work takes [slowdown] times as long as usual. */
    public fun recordReport(slowdown: Double, now: MonotonicTime) {
        if (!slowdown.isFinite() || slowdown <= 0) return
        last = slowdown.coerceIn(MINIMUM_SLOWDOWN, MAXIMUM_SLOWDOWN)
        val gap = now.millisecondsSince(reportedAt)
        // Reports that follow each other at once say the same, so they count as one.
        val weight = 1 - exp(-gap / MEAN_LIFETIME_MILLISECONDS)
        mean = meanAt(now) * (1 - weight) + last * weight
        reportedAt = now
    }

    /** Returns the factor by which work takes longer than usual at [now], 1 if nothing recent is known. */
    public fun slowdown(now: MonotonicTime): Double {
        val freshness = exp(-now.millisecondsSince(reportedAt) / REPORT_LIFETIME_MILLISECONDS)
        val lasting = meanAt(now)
        return lasting + (last - lasting) * freshness
    }

    private fun meanAt(now: MonotonicTime): Double {
        val age = now.millisecondsSince(reportedAt) - STATED_MILLISECONDS
        return 1 + (mean - 1) * exp(-age.coerceAtLeast(0) / MEAN_LIFETIME_MILLISECONDS)
    }

    private companion object {
        /** Bounds of what is believed: beyond them a machine is as good as lost, or states nonsense. */
        const val MINIMUM_SLOWDOWN = 0.25
        const val MAXIMUM_SLOWDOWN = 10.0

        /** Machines that are shared change their speed several times a second. */
        const val REPORT_LIFETIME_MILLISECONDS = 250.0

        /** Some tens of changes, of which the mean is known well. */
        const val MEAN_LIFETIME_MILLISECONDS = 5_000.0

        /** A target gets a request of each router at least this often, so an older mean is of a target out of use. */
        const val STATED_MILLISECONDS = 10_000L
    }
}
