package org.heatherwind.gateway.crash

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.target.TargetEntry

/**
 * Determines whether a target has crashed after the loss of a connection. The host of a crashed process refuses new
 * connections until the process is back, which takes seconds. After the loss of a single connection, a new one is
 * accepted, and in a partition there is no response.
 *
 * @param isRefusing returns whether a new connection to the target is refused
 */
internal class TargetCrashDetector(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val isRefusing: suspend (TargetLoad) -> Boolean,
) {
    private val checks = HashMap<String, Check>()

    /** Returns whether [target] has crashed. Checks each target at most once within [CHECK_LIFETIME_MILLISECONDS]. */
    suspend fun hasCrashed(target: TargetLoad): Boolean {
        val now = clock.now()
        checks.values.removeIf { now.millisecondsSince(it.startedAt) > CHECK_LIFETIME_MILLISECONDS }
        val check = checks.getOrPut(processOf(target.entry)) {
            Check(now, scope.async(start = CoroutineStart.UNDISPATCHED) { isRefusing(target) })
        }
        return check.result.await()
    }

    private class Check(val startedAt: MonotonicTime, val result: Deferred<Boolean>)

    companion object {
        /** All connections of a crashed target end within some tens of milliseconds. */
        private const val CHECK_LIFETIME_MILLISECONDS = 1_000L

        /** Identifies the process of the target with [entry] in the fleet. */
        fun processOf(entry: TargetEntry): String = "${entry.id.value}@${entry.startedAtEpochMilliseconds ?: 0}"
    }
}
