package org.heatherwind.core.admission

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.placement.TargetLoad

/** Estimates when the targets of one service have a place, from how long requests lately took there. */
public class RoomEstimate {
    private var meanMilliseconds = INITIAL_MILLISECONDS

    /** Records that a request took [milliseconds] at a target, from the send to the end of the answer. */
    public fun recordRun(milliseconds: Long) {
        meanMilliseconds += (milliseconds - meanMilliseconds) * WEIGHT
    }

    /** Returns the expected milliseconds until the first of [targets] has begun with all that waits there. */
    public fun millisecondsUntilRoom(targets: List<TargetLoad>, now: MonotonicTime): Long {
        val queues =
            targets.minOfOrNull { (it.report.waitingRequests(now) + 1) / it.entry.slots.coerceAtLeast(1) } ?: 1.0
        return (queues * meanMilliseconds).toLong()
    }

    private companion object {
        /** Before the first answer. */
        const val INITIAL_MILLISECONDS = 100.0

        /** Follows a service that becomes slow within some tens of requests, without following each one. */
        const val WEIGHT = 0.05
    }
}
