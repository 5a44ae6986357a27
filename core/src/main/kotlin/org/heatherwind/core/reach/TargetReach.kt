package org.heatherwind.core.reach

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId

/**
 * Whether this router reaches targets by connections of its own. Connections that fail at several targets, with none
 * established in between, tell a cut of the router's own links from the failure of a target. Confined to one thread.
 *
 * A connection that times out counts only if nothing arrived from any target meanwhile: a router whose processor or
 * link is overloaded connects too late, but goes on to receive.
 */
public class TargetReach {
    /** The targets at which connections failed since the last established one, with the time of the last failure. */
    private val failures = LinkedHashMap<TargetId, MonotonicTime>()

    /** When the router was found to be cut off from all targets, or null while it reaches them. */
    public var cutOffSince: MonotonicTime? = null
        private set

    /** Whether new connections should go through other routers. */
    public val isCutOff: Boolean get() = cutOffSince != null

    /** The number of targets at which connections failed since the last established one. */
    public val failedTargets: Int get() = failures.size

    /**
     * Records at [now] that a connection to [target] failed because of [failure]. Returns whether the router is cut off
     * from now on.
     *
     * @param receivedAt when bytes of any target last arrived on a direct connection
     */
    public fun recordFailed(
        target: TargetId,
        failure: ConnectFailure,
        receivedAt: MonotonicTime,
        now: MonotonicTime,
    ): Boolean {
        if (!isEvidence(failure, receivedAt)) return false
        failures.values.removeIf { now.millisecondsSince(it) > EVIDENCE_MILLISECONDS }
        failures[target] = now
        if (isCutOff || failures.size < MINIMUM_TARGETS) return false
        cutOffSince = now
        return true
    }

    private fun isEvidence(failure: ConnectFailure, receivedAt: MonotonicTime): Boolean = when (failure) {
        ConnectFailure.Refused -> true
        is ConnectFailure.TimedOut -> receivedAt <= failure.startedAt
    }

    /** Records a direct connection. Returns since when the router was cut off until now, or null. */
    public fun recordEstablished(): MonotonicTime? {
        failures.clear()
        return cutOffSince.also { cutOffSince = null }
    }

    public companion object {
        /** Failures at one target say nothing about the links of the router. */
        public const val MINIMUM_TARGETS: Int = 2

        /** Several times the time after which a connection attempt fails. */
        public const val EVIDENCE_MILLISECONDS: Long = 2_000
    }
}
