package org.heatherwind.gateway.telemetry

import kotlinx.coroutines.CancellationException

private const val MAXIMUM_TRACE_CHARACTERS = 2_000

/** Runs one step of the periodic [task]. Logs an unexpected failure of it, so that the next step follows. */
@Suppress("TooGenericExceptionCaught") // Only a failure that is unknown here can get this far.
internal inline fun DecisionLog.loggingFailures(task: String, step: () -> Unit) {
    try {
        step()
    } catch (cancellation: CancellationException) {
        throw cancellation
    } catch (failure: Throwable) {
        logFailure(task, failure)
    }
}

/** Logs the unexpected [failure] of one step of [task]. */
internal fun DecisionLog.logFailure(task: String, failure: Throwable): Unit = stateChange(
    task,
    "A step of a task failed.",
    "failure" to failure.stackTraceToString().take(MAXIMUM_TRACE_CHARACTERS),
)
