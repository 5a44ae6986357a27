package org.heatherwind.gateway.telemetry

import io.github.oshai.kotlinlogging.KotlinLogging
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime

/**
 * Logs one line for each decision about a request and each change of the router's view of the fleet. Lines beyond a
 * rate limit are dropped and counted, so that logging cannot starve requests of processor time.
 */
public class DecisionLog(private val clock: MonotonicClock, private val metrics: GatewayMetrics) {
    private val requestLogger = KotlinLogging.logger("request")
    private val stateChangeLogger = KotlinLogging.logger("belief")
    private val processLogger = KotlinLogging.logger("process")
    private var availableLines = LINES_PER_SECOND
    private var refilledAt = clock.now()

    /** Logs a decision about the request [id]. */
    public fun request(id: String, sentence: String, vararg fields: Pair<String, Any?>) {
        if (!tryAcquireLine()) return
        requestLogger.atInfo {
            message = sentence
            payload = mapOf("request" to id) + loggable(fields)
        }
    }

    /** Logs a change of the router's view of [subject]. */
    public fun stateChange(subject: String, sentence: String, vararg fields: Pair<String, Any?>) {
        if (!tryAcquireLine()) return
        stateChangeLogger.atInfo {
            message = sentence
            payload = mapOf("subject" to subject) + loggable(fields)
        }
    }

    /** Logs that the dependency [name] became unreachable or reachable again; not rate-limited. */
    public fun dependency(name: String, sentence: String, vararg fields: Pair<String, Any?>) {
        processLogger.atWarn {
            message = sentence
            payload = mapOf("dependency" to name) + loggable(fields)
        }
    }

    /** Logs an event in the lifecycle of the process; not rate-limited. */
    public fun process(sentence: String, vararg fields: Pair<String, Any?>) {
        processLogger.atInfo {
            message = sentence
            payload = loggable(fields)
        }
    }

    /** Returns [fields] with values other than numbers and Booleans, which the encoder writes as such, as strings. */
    private fun loggable(fields: Array<out Pair<String, Any?>>): Map<String, Any?> = fields.associate { (name, value) ->
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
