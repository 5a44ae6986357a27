package org.heatherwind.gateway.telemetry

import io.github.oshai.kotlinlogging.KotlinLogging
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime

/**
 * One line for each decision that touches a request or changes what the router believes. Beyond a rate, lines are
 * dropped and counted, so that logging cannot take the processor from requests.
 */
public class DecisionLog(private val clock: MonotonicClock, private val metrics: GatewayMetrics) {
    private val requests = KotlinLogging.logger("request")
    private val stateChanges = KotlinLogging.logger("belief")
    private val processes = KotlinLogging.logger("process")
    private var allowance = LINES_PER_SECOND
    private var refilledAt = clock.now()

    /** A decision about the request [id]. */
    public fun request(id: String, sentence: String, vararg inputs: Pair<String, Any?>) {
        if (!mayWrite()) return
        requests.atInfo {
            message = sentence
            payload = mapOf("request" to id) + readable(inputs)
        }
    }

    /** A change of what the router believes about [subject]. */
    public fun stateChange(subject: String, sentence: String, vararg inputs: Pair<String, Any?>) {
        if (!mayWrite()) return
        stateChanges.atInfo {
            message = sentence
            payload = mapOf("subject" to subject) + readable(inputs)
        }
    }

    /** A dependency that was lost or regained. */
    public fun dependency(name: String, sentence: String, vararg inputs: Pair<String, Any?>) {
        processes.atWarn {
            message = sentence
            payload = mapOf("dependency" to name) + readable(inputs)
        }
    }

    /** Start, stop and reload of the process. */
    public fun process(sentence: String, vararg inputs: Pair<String, Any?>) {
        processes.atInfo {
            message = sentence
            payload = readable(inputs)
        }
    }

    /** Inputs that the encoder shows as they are; others by their text. */
    private fun readable(inputs: Array<out Pair<String, Any?>>): Map<String, Any?> = inputs.associate { (name, value) ->
        name to
            if (value is Number || value is Boolean) value else value?.toString()
    }

    private fun mayWrite(): Boolean {
        val now: MonotonicTime = clock.now()
        val earned = now.millisecondsSince(refilledAt) * LINES_PER_SECOND / MILLISECONDS_PER_SECOND
        if (earned >= 1) {
            allowance = minOf(LINES_PER_SECOND, allowance + earned)
            refilledAt = now
        }
        if (allowance < 1) {
            metrics.countDroppedLine()
            return false
        }
        allowance -= 1
        return true
    }

    private companion object {
        /** About eight lines for each request at twice the sheets' rate for one router. */
        const val LINES_PER_SECOND = 400.0
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
