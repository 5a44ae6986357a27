package org.heatherwind.gateway.telemetry

import org.heatherwind.core.identity.MonotonicTime

/** How late the event loop runs a periodic task, which shows how long single turns of the loop take. */
internal class EventLoopDelay(private val log: DecisionLog) {
    private var dueAt: MonotonicTime? = null

    /** The longest delay since the start, in milliseconds. */
    var longestMilliseconds = 0L
        private set

    /** Records that the task was scheduled to run at [due]. */
    fun schedule(due: MonotonicTime) {
        dueAt = due
    }

    /** Records that the task runs at [now]. */
    fun run(now: MonotonicTime) {
        val delay = now.millisecondsSince(dueAt ?: return)
        longestMilliseconds = maxOf(longestMilliseconds, delay)
        if (delay >= REPORTED_MILLISECONDS) log.process("The event loop was blocked.", "milliseconds" to delay)
    }

    private companion object {
        /** Callers notice delays of this length. */
        const val REPORTED_MILLISECONDS = 250L
    }
}
