package org.heatherwind.gateway.serve

import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.WorkRequest

/** How long a target may be silent before it is suspected, and whether the request then goes elsewhere. */
internal class ResponseTimeoutPolicy {
    /** Milliseconds until the next part of the answer is overdue. */
    fun timeoutMilliseconds(work: WorkRequest, progress: DeliveryProgress, hasBegun: Boolean): Long {
        val pause = work.route.pauseObjectiveMilliseconds
        return when {
            hasBegun && pause != null -> maxOf(pause * PAUSE_FACTOR, MINIMUM_MILLISECONDS)

            work.tokens != null && progress.eventCount == 0L ->
                work.route.latencyObjectiveMilliseconds * FIRST_EVENT_FACTOR + MINIMUM_MILLISECONDS

            else -> work.route.latencyObjectiveMilliseconds + PLAIN_GRACE_MILLISECONDS
        }
    }

    /** Whether the request may go on elsewhere after silence. */
    fun mayLeave(work: WorkRequest, progress: DeliveryProgress): Boolean = when (work.route.repeatability) {
        Repeatability.AtMostOnce -> false
        Repeatability.Idempotent -> !progress.answer.hasBegun
        Repeatability.Resumable -> true
    }

    private companion object {
        const val PAUSE_FACTOR = 2
        const val FIRST_EVENT_FACTOR = 2
        const val MINIMUM_MILLISECONDS = 500L
        const val PLAIN_GRACE_MILLISECONDS = 100L
    }
}
