package org.heatherwind.gateway.relay

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import java.net.InetSocketAddress
import kotlin.random.Random

/**
 * Chooses the routers through which connections to targets are opened. Each router counts its own connections only, so
 * of two drawn at random the one with fewer is taken, which spreads the load of many routers over few.
 *
 * @param offered returns the addresses at which other routers offer to connect to targets
 */
internal class Relays(
    private val clock: MonotonicClock,
    private val offered: () -> List<InetSocketAddress>,
    private val random: Random = Random.Default,
) {
    private val openCounts = HashMap<InetSocketAddress, Int>()
    private val pausedUntil = HashMap<InetSocketAddress, MonotonicTime>()

    /** Returns an address that is not in [tried], or null if there is none. */
    fun choose(tried: Set<InetSocketAddress>): InetSocketAddress? {
        val now = clock.now()
        pausedUntil.values.removeIf { it <= now }
        val untried = offered().filterNot { it in tried }
        val usable = untried.filterNot { it in pausedUntil }.ifEmpty { untried }
        return List(CHOICES) { usable.randomOrNull(random) }.filterNotNull().minByOrNull { openCounts[it] ?: 0 }
    }

    fun recordOpened(relay: InetSocketAddress) {
        openCounts.merge(relay, 1, Int::plus)
    }

    fun recordClosed(relay: InetSocketAddress) {
        openCounts.computeIfPresent(relay) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Makes [choose] prefer others for a while, since this one did not answer or has declined. */
    fun recordFailed(relay: InetSocketAddress) {
        pausedUntil[relay] = clock.now().plusMilliseconds(PAUSE_MILLISECONDS)
    }

    private companion object {
        const val CHOICES = 2

        /** A router that is cut off, too, says so in its reports within this time. */
        const val PAUSE_MILLISECONDS = 1_000L
    }
}
