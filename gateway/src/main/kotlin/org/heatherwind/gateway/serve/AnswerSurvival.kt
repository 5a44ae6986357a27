package org.heatherwind.gateway.serve

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime

/**
 * Whether a target has outlived the begin of its answer, so that the request does not crash it. A target that a request
 * crashes as it begins to answer may have sent some events by then.
 *
 * @param onProven called once, when this is known
 */
internal class AnswerSurvival(private val clock: MonotonicClock, private val onProven: () -> Unit) {
    /** From when on an event is the proof, or null before the first event. */
    private var provenFrom: MonotonicTime? = null

    /** Whether the target went on with its answer well after it began. */
    var isProven = false
        private set

    /** Records that events have arrived. */
    fun recordEvents() {
        val now = clock.now()
        val from = provenFrom ?: now.plusMilliseconds(PROOF_MILLISECONDS).also { provenFrom = it }
        if (isProven || now < from) return
        isProven = true
        onProven()
    }

    private companion object {
        /** Many times what passes between the events that a crashing target still sends and the loss of connections. */
        const val PROOF_MILLISECONDS = 500L
    }
}
