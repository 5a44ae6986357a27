package org.heatherwind.gateway.crash

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
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

    /** Counts checks and requests for a recheck, so that it is known which came first. */
    private var lastNumber = 0L

    /**
     * Returns whether [target] is known to have crashed. Checks each target at most once within
     * [CHECK_LIFETIME_MILLISECONDS], so that the answer may be out of date.
     */
    suspend fun hasCrashed(target: TargetLoad): Boolean {
        val now = clock.now()
        checks.values.removeIf { now.millisecondsSince(it.startedAt) > CHECK_LIFETIME_MILLISECONDS }
        return (checks[processOf(target.entry)] ?: check(target)).result.await()
    }

    /**
     * Returns whether [target] has crashed, as of [RECHECK_DELAY_MILLISECONDS] after this call: a process that ends may
     * close connections a little before its host refuses new ones. All calls within that time share one check.
     */
    suspend fun hasCrashedOnRecheck(target: TargetLoad): Boolean {
        val requestNumber = ++lastNumber
        delay(RECHECK_DELAY_MILLISECONDS)
        val latest = checks[processOf(target.entry)]?.takeIf { it.number > requestNumber }
        return (latest ?: check(target)).result.await()
    }

    private fun check(target: TargetLoad): Check {
        val result = scope.async(start = CoroutineStart.UNDISPATCHED) { isRefusing(target) }
        return Check(++lastNumber, clock.now(), result).also { checks[processOf(target.entry)] = it }
    }

    private class Check(val number: Long, val startedAt: MonotonicTime, val result: Deferred<Boolean>)

    companion object {
        /** All connections of a crashed target end within some tens of milliseconds. */
        private const val CHECK_LIFETIME_MILLISECONDS = 250L

        /** Many times what the end of a process takes, and far less than the start of the next one. */
        private const val RECHECK_DELAY_MILLISECONDS = 250L

        /** Identifies the process of the target with [entry] in the fleet. */
        fun processOf(entry: TargetEntry): String = "${entry.id.value}@${entry.startedAtEpochMilliseconds ?: 0}"
    }
}
