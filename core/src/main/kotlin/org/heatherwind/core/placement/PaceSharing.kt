package org.heatherwind.core.placement

import org.heatherwind.core.escrow.DecayingRate
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.routing.Rendezvous

/**
 * A router's place in the order in which routers send to one target.
 *
 * @property position 0 for the first router
 * @property routers number of routers in the order
 */
public data class PacePlace(val position: Int, val routers: Int)

/**
 * What the paces of one service's targets share at this router. Confined to one thread.
 *
 * @param self this router
 * @param routers returns the routers that may send requests, the same set until it changes, or null if none are known
 * @param coldCeiling returns what a cold target of the service may get, or null if that is not limited
 * @param isKnownToOthers returns whether the other routers know this one; until then it sends nothing to cold targets
 * @param isFleetLarge returns whether so many routers send that each knows little of what the others send
 * @param onChange receives each change of a pace
 */
public class PaceSharing(
    private val self: InstanceId = InstanceId(""),
    private val routers: () -> Set<InstanceId>? = { null },
    private val coldCeiling: () -> ColdCeiling? = { null },
    internal val isKnownToOthers: () -> Boolean = { true },
    internal val isFleetLarge: () -> Boolean = { true },
    private val onChange: (PaceChange) -> Unit = {},
) {
    private val sendRate = DecayingRate(MonotonicTime.distantPast, SEND_RATE_HALF_LIFE_MILLISECONDS)

    private var sendingSince: MonotonicTime? = null
    private var lastSentAt = MonotonicTime.distantPast

    /** Mean time to the first event of the service's targets, in milliseconds. */
    public var roundTripMilliseconds: Double = INITIAL_ROUND_TRIP_MILLISECONDS
        private set

    /** How often a target was passed over for its pace. */
    public var passedOverCount: Long = 0
        private set

    internal val ceiling: ColdCeiling? get() = coldCeiling()

    internal val knownRouters: Set<InstanceId>? get() = routers()

    /** Records that a target took [milliseconds] to its first event. */
    internal fun recordRoundTrip(milliseconds: Double) {
        roundTripMilliseconds += (milliseconds - roundTripMilliseconds) * ROUND_TRIP_WEIGHT
        roundTripMilliseconds = roundTripMilliseconds.coerceAtLeast(MINIMUM_ROUND_TRIP_MILLISECONDS)
    }

    /** Records that a request was sent to one of the targets at [now]. */
    internal fun recordSent(now: MonotonicTime) {
        if (isQuiet(now)) sendingSince = now
        lastSentAt = now
        sendRate.add(1.0, now)
    }

    /**
     * Returns the requests, at most one, that this router has waiting for an answer at a time if one target gets all.
     * As long as that isn't known, it is one: the routers of a service that was quiet may all get work at once.
     */
    internal fun requestsAtOnce(now: MonotonicTime): Double {
        val since = sendingSince?.takeUnless { isQuiet(now) } ?: return 1.0
        if (now.millisecondsSince(since) < KNOWN_RATE_MILLISECONDS) return 1.0
        return (sendRate.perSecond(now) * roundTripMilliseconds / MILLISECONDS_PER_SECOND).coerceAtMost(1.0)
    }

    private fun isQuiet(now: MonotonicTime): Boolean = now.millisecondsSince(lastSentAt) > QUIET_MILLISECONDS

    internal fun recordPassedOver() {
        passedOverCount++
    }

    internal fun recordChange(change: PaceChange): Unit = onChange(change)

    /** Returns this router's place among [routers] in their order for [target]. */
    internal fun placeOf(target: TargetId, routers: Set<InstanceId>): PacePlace {
        val others = routers.filter { it != self }
        return PacePlace(Rendezvous.position(target.value, self, others) { it.value }, others.size + 1)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Bursts last for some seconds. */
        const val SEND_RATE_HALF_LIFE_MILLISECONDS = 2_000.0

        /** A router that has sent nothing for longer doesn't know what callers will want next. */
        const val QUIET_MILLISECONDS = 10_000L

        /** After this time of sending, the rate says something about what is to come. */
        const val KNOWN_RATE_MILLISECONDS = 1_000L
        const val ROUND_TRIP_WEIGHT = 0.1

        /** A router that has had no answer yet assumes that targets answer like a usual one. */
        const val INITIAL_ROUND_TRIP_MILLISECONDS = 100.0

        /** About the time within which other routers' requests show in an answer. */
        const val MINIMUM_ROUND_TRIP_MILLISECONDS = 10.0
    }
}
