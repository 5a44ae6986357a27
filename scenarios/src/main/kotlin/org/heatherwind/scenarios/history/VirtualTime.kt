package org.heatherwind.scenarios.history

import org.heatherwind.core.identity.Timestamp
import java.util.PriorityQueue

/** Runs actions in the order of their virtual due times; actions due at the same time run in scheduling order. */
public class VirtualTime {
    private val queue = PriorityQueue<Scheduled>(compareBy<Scheduled> { it.at }.thenBy { it.order })
    private var scheduled = 0L

    /** The current virtual time. */
    public var now: Timestamp = Timestamp(START_MILLISECONDS)
        private set

    /** Schedules [action] to run after [milliseconds]. */
    public fun after(milliseconds: Long, action: () -> Unit) {
        queue += Scheduled(now.plusMilliseconds(milliseconds), scheduled++, action)
    }

    /** Advances the virtual time by [milliseconds] and runs every action that falls due. */
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
