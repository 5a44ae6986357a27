package org.heatherwind.gateway.serve

import org.heatherwind.core.work.WorkRequest

/** How long to wait for progress in a response. */
internal class ResponseTimeoutPolicy {
    /**
     * Returns the milliseconds after which a response without a valid new part is overdue.
     *
     * @param hasStarted whether the target's response has started
     */
    fun timeoutMilliseconds(work: WorkRequest, progress: DeliveryProgress, hasStarted: Boolean): Long {
        val pause = work.route.pauseObjectiveMilliseconds
        return when {
            hasStarted && pause != null -> maxOf(pause * PAUSE_FACTOR, MINIMUM_TIMEOUT_MILLISECONDS)

            work.tokens != null && progress.eventCount == 0L ->
                work.route.latencyObjectiveMilliseconds * FIRST_EVENT_FACTOR + MINIMUM_TIMEOUT_MILLISECONDS

            else -> work.route.latencyObjectiveMilliseconds + RESPONSE_MARGIN_MILLISECONDS
        }
    }

    private companion object {
        const val PAUSE_FACTOR = 2
        const val FIRST_EVENT_FACTOR = 2
        const val MINIMUM_TIMEOUT_MILLISECONDS = 500L
        const val RESPONSE_MARGIN_MILLISECONDS = 100L
    }
}
