package org.heatherwind.scenarios.history

import org.heatherwind.core.identity.Timestamp
import java.util.PriorityQueue

/** Runs actions in the order of their virtual moments; actions of one moment run in the order of their scheduling. */
public class VirtualTime {
    private val queue = PriorityQueue<Scheduled>(compareBy<Scheduled> { it.at }.thenBy { it.order })
    private var scheduled = 0L

    /** The present virtual moment. */
    public var now: Timestamp = Timestamp(START_MILLISECONDS)
        private set

    /** Runs [action] in [milliseconds]. */
    public fun after(milliseconds: Long, action: () -> Unit) {
        queue += Scheduled(now.plusMilliseconds(milliseconds), scheduled++, action)
    }

    /** Runs everything that is due in the next [milliseconds]. */
    public fun advance(milliseconds: Long) {
        val end = now.plusMilliseconds(milliseconds)
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    private class Scheduled(val at: Timestamp, val order: Long, val action: () -> Unit)

    private companion object {
        const val START_MILLISECONDS = 1_000_000L
    }
}
