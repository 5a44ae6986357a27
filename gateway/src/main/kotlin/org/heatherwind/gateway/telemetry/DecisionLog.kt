package org.heatherwind.gateway.telemetry

import io.github.oshai.kotlinlogging.KotlinLogging
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime

/**
 * Logs one line for each decision about a request and each change of the router's view of the fleet. Lines beyond a
 * rate limit are dropped and counted, so that logging cannot starve requests of processor time.
 */
public class DecisionLog(private val clock: MonotonicClock, private val metrics: GatewayMetrics) {
    private val requests = KotlinLogging.logger("request")
    private val stateChanges = KotlinLogging.logger("belief")
    private val processes = KotlinLogging.logger("process")
    private var availableLines = LINES_PER_SECOND
    private var refilledAt = clock.now()

    /** Logs a decision about the request [id]. */
    public fun request(id: String, sentence: String, vararg inputs: Pair<String, Any?>) {
        if (!tryAcquireLine()) return
        requests.atInfo {
            message = sentence
            payload = mapOf("request" to id) + loggable(inputs)
        }
    }

    /** Logs a change of the router's view of [subject]. */
    public fun stateChange(subject: String, sentence: String, vararg inputs: Pair<String, Any?>) {
        if (!tryAcquireLine()) return
        stateChanges.atInfo {
            message = sentence
            payload = mapOf("subject" to subject) + loggable(inputs)
        }
    }

    /** Logs that the dependency [name] became unreachable or reachable again; not rate-limited. */
    public fun dependency(name: String, sentence: String, vararg inputs: Pair<String, Any?>) {
        processes.atWarn {
            message = sentence
            payload = mapOf("dependency" to name) + loggable(inputs)
        }
    }

    /** Logs an event in the lifecycle of the process; not rate-limited. */
    public fun process(sentence: String, vararg inputs: Pair<String, Any?>) {
        processes.atInfo {
            message = sentence
            payload = loggable(inputs)
        }
    }

    /** Keeps numbers and Booleans, which the encoder writes as such, and converts other values to strings. */
    private fun loggable(inputs: Array<out Pair<String, Any?>>): Map<String, Any?> = inputs.associate { (name, value) ->
        name to
            if (value is Number || value is Boolean) value else value?.toString()
    }

    private fun tryAcquireLine(): Boolean {
        val now: MonotonicTime = clock.now()
        val refilled = now.millisecondsSince(refilledAt) * LINES_PER_SECOND / MILLISECONDS_PER_SECOND
        if (refilled >= 1) {
            availableLines = minOf(LINES_PER_SECOND, availableLines + refilled)
            refilledAt = now
        }
        if (availableLines < 1) {
            metrics.countDroppedLine()
            return false
        }
        availableLines -= 1
        return true
    }

    private companion object {
        /** About eight lines per request at twice the request rate expected for one router. */
        const val LINES_PER_SECOND = 400.0
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
