package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/** What a target has reported last of its load. Confined to one thread. */
public class LoadReport {
    private var externalRequests: Double = 0.0
    private var waitingRequests: Int = 0
    private var slots: Int? = null
    private var receivedAt: MonotonicTime = MonotonicTime.distantPast

    /** Returns the requests of other routers; their number decays with the report's age. */
    public fun externalRequests(now: MonotonicTime): Double = externalRequests * weight(now)

    /** The requests of other routers, as reported last. */
    internal val lastExternalRequests: Double get() = externalRequests

    /** Returns the waiting requests; their number decays with the report's age. */
    public fun waitingRequests(now: MonotonicTime): Double = waitingRequests * weight(now)

    /** Returns the slots that the target has stated, or those of its entry, [listed], if these are not credible. */
    internal fun slots(listed: Int): Int {
        val usual = listed.coerceAtLeast(1)
        val isCredible = { stated: Int ->
            stated <= usual * CREDIBLE_SLOTS_FACTOR && usual <= stated * CREDIBLE_SLOTS_FACTOR
        }
        return slots?.takeIf(isCredible) ?: usual
    }

    internal fun record(externalRequests: Double, waiting: Int, slots: Int?, now: MonotonicTime) {
        this.externalRequests = externalRequests.coerceAtLeast(0.0)
        waitingRequests = waiting
        this.slots = slots
        receivedAt = now
    }

    /** Records at [now] that the target was full. */
    internal fun recordFull(now: MonotonicTime) {
        waitingRequests = maxOf(waitingRequests, 1)
        receivedAt = now
    }

    private fun weight(now: MonotonicTime): Double {
        val age = now.millisecondsSince(receivedAt)
        return if (age > LIFETIME_MILLISECONDS) 0.0 else 1 - age.toDouble() / LIFETIME_MILLISECONDS
    }

    private companion object {
        /** Targets change their slots somewhat; what states many times more or less than its entry is wrong. */
        const val CREDIBLE_SLOTS_FACTOR = 4L

        /** Most requests end within two seconds, so the requests in an older report have probably ended. */
        const val LIFETIME_MILLISECONDS = 2_000L
    }
}
