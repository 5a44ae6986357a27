package org.heatherwind.core.placement

import kotlin.math.ceil
import kotlin.math.floor

/**
 * What a cold target of a service may get, from all routers together, divided into equal shares.
 *
 * Each share belongs to one router and allows one request per [shareMilliseconds], which is more than a second. So
 * requests in any one second are at most as many as the shares that routers take, and shares are half of what is
 * allowed: the bound holds also while, for each share, a second router believes that it is its own.
 *
 * @property requestsPerSecond requests per second that a cold target bears
 * @property overage factor by which that may be exceeded in one second
 * @property slack requests that a cold target may get in one second beside that
 */
public data class ColdCeiling(val requestsPerSecond: Double, val overage: Double, val slack: Double) {
    /** Most requests that a cold target may get in any one second. */
    public val maximumPerSecond: Int = floor(requestsPerSecond * overage + slack).toInt()

    private val sustainedPerSecond = minOf(requestsPerSecond, maximumPerSecond / CLAIMANTS_PER_SHARE)

    /** Number of shares; none if a cold target bears nothing. */
    public val shares: Int = when {
        requestsPerSecond <= 0 || maximumPerSecond < 1 -> 0
        else -> floor(sustainedPerSecond).toInt().coerceAtLeast(1)
    }

    private val shareMilliseconds: Double =
        ceil(MILLISECONDS_PER_SECOND * maxOf(1.0, shares / sustainedPerSecond)) + SENDING_MILLISECONDS

    /** Returns the shares of the router at [place]. */
    public fun sharesOf(place: PacePlace): Int =
        if (place.position >= shares) 0 else (shares - place.position - 1) / place.routers + 1

    /** Returns the least milliseconds between two requests of the router at [place], or null if it has no share. */
    public fun intervalMilliseconds(place: PacePlace): Long? =
        sharesOf(place).takeIf { it > 0 }?.let { ceil(shareMilliseconds / it).toLong() }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Routers that may take one share at a time, while they disagree on which routers there are. */
        const val CLAIMANTS_PER_SHARE = 2.0

        /** A request is on its way some milliseconds after its time was taken, and not always equally many. */
        const val SENDING_MILLISECONDS = 25.0
    }
}
