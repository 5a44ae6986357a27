package org.heatherwind.gateway.serve

import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.WorkRequest

/** How long to wait for the next part of a response, and whether to retry on another target after a timeout. */
internal class ResponseTimeoutPolicy {
    /**
     * Returns the milliseconds until the next part of the response is overdue.
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

    /** Returns whether the request may continue on another target after a timeout. */
    fun mayRetryOnAnotherTarget(work: WorkRequest, progress: DeliveryProgress): Boolean =
        when (work.route.repeatability) {
            Repeatability.AtMostOnce -> false
            Repeatability.Idempotent -> !progress.callerResponse.hasStarted
            Repeatability.Resumable -> true
        }

    private companion object {
        const val PAUSE_FACTOR = 2
        const val FIRST_EVENT_FACTOR = 2
        const val MINIMUM_TIMEOUT_MILLISECONDS = 500L
        const val RESPONSE_MARGIN_MILLISECONDS = 100L
    }
}
