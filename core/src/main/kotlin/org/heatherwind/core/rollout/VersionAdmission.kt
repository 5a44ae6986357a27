package org.heatherwind.core.rollout

import org.heatherwind.core.identity.MonotonicTime

/**
 * Decides which versions of one service may get requests without an order. Targets of a new version may be listed
 * before its order is read, so a version that appears beside another one is held back until orders have been read that
 * would name it.
 */
public class VersionAdmission {
    private var firstSeen = mapOf<String, FirstSeen>()

    /** Records that the service has targets of [versions] at [now], with the number of targets of each. */
    public fun recordVersions(versions: Map<String, Int>, now: MonotonicTime) {
        val isFirst = firstSeen.isEmpty()
        val largest = versions.values.maxOrNull()
        firstSeen = versions.mapValues { (version, count) ->
            firstSeen[version] ?: FirstSeen(now, isAdmitted = isFirst && count == largest)
        }
        if (firstSeen.size == 1) firstSeen = firstSeen.mapValues { it.value.copy(isAdmitted = true) }
    }

    /** Returns whether [version] may get requests at [now], if all orders up to [ordersReadAt] are known. */
    public fun isAdmitted(version: String, now: MonotonicTime, ordersReadAt: MonotonicTime): Boolean {
        val seen = firstSeen[version] ?: return false
        val heldUntil = seen.at.plusMilliseconds(HOLD_MILLISECONDS)
        return seen.isAdmitted || (now >= heldUntil && ordersReadAt >= heldUntil)
    }

    private data class FirstSeen(val at: MonotonicTime, val isAdmitted: Boolean)

    private companion object {
        /** Targets of a new version register within this time before its order. */
        const val HOLD_MILLISECONDS = 5_000L
    }
}
