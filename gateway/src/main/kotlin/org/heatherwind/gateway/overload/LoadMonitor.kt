package org.heatherwind.gateway.overload

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.overload.QueueingDelays
import org.heatherwind.core.overload.WindowDelay
import org.heatherwind.gateway.http.TrafficCounter
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.loggingFailures

/**
 * Measures how long requests wait for this router's own processor and link, and logs it while they do. Confined to the
 * event loop.
 *
 * @param traffic the bytes that the router's link carries
 * @param onWindow called at the end of each window
 */
internal class LoadMonitor(
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val traffic: TrafficCounter,
    private val onWindow: (WindowDelay) -> Unit,
) {
    private val delays = QueueingDelays()
    private var receivedBytes = 0L
    private var sentBytes = 0L

    /** Delays of the last window. */
    var window = WindowDelay(null, null)
        private set

    /** Records that a direct connection to a target was established after [milliseconds]. */
    fun recordConnect(milliseconds: Long): Unit = delays.recordConnect(milliseconds)

    /** Measures one window after the other. Runs until cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            repeat(TURNS_PER_WINDOW) { measureTurn() }
            log.loggingFailures(SUBJECT) { endWindow() }
        }
    }

    private suspend fun measureTurn() {
        val due = clock.now().plusMilliseconds(TURN_MILLISECONDS)
        delay(TURN_MILLISECONDS)
        delays.recordTurn(clock.now().millisecondsSince(due))
    }

    private fun endWindow() {
        window = delays.endWindow()
        onWindow(window)
        if (window.isOverloaded) {
            log.stateChange(
                SUBJECT,
                "Requests wait for this router.",
                "processorMilliseconds" to window.processorMilliseconds,
                "linkMilliseconds" to window.linkMilliseconds,
                "receivedBytes" to traffic.receivedBytes - receivedBytes,
                "sentBytes" to traffic.sentBytes - sentBytes,
            )
        }
        receivedBytes = traffic.receivedBytes
        sentBytes = traffic.sentBytes
    }

    private companion object {
        const val SUBJECT = "overload"

        const val TURN_MILLISECONDS = 50L
        const val TURNS_PER_WINDOW = 5
    }
}
