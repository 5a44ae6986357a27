package org.heatherwind.core.overload

/**
 * How long requests wait at least for this router's own processor and link. Confined to one thread.
 *
 * The shortest delay of a window counts: a burst that is worked off within the window leaves one sample without delay,
 * a standing queue leaves none.
 */
public class QueueingDelays {
    private val turns = ArrayList<Long>()
    private val connects = ArrayList<Long>()

    /** The shortest time to connect since the start, most of which is the distance of the targets. */
    private var shortestConnect = Long.MAX_VALUE

    /** Records that the event loop ran a task [milliseconds] later than planned. */
    public fun recordTurn(milliseconds: Long) {
        turns += milliseconds
    }

    /** Records that a connection to a target was established after [milliseconds]. */
    public fun recordConnect(milliseconds: Long) {
        connects += milliseconds
        shortestConnect = minOf(shortestConnect, milliseconds)
    }

    /** Ends the window and returns its delays. */
    public fun endWindow(): WindowDelay {
        val window = WindowDelay(
            processorMilliseconds = shortestOf(turns),
            linkMilliseconds = shortestOf(connects)?.let { it - shortestConnect },
        )
        turns.clear()
        connects.clear()
        return window
    }

    private fun shortestOf(samples: List<Long>): Long? = samples.takeIf { it.size >= MINIMUM_SAMPLES }?.min()

    private companion object {
        /** One late sample, as after a freeze of the instance, says nothing about a queue. */
        const val MINIMUM_SAMPLES = 3
    }
}
