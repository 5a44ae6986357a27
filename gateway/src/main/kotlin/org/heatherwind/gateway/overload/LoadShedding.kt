package org.heatherwind.gateway.overload

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.overload.AdmittedShare
import org.heatherwind.core.overload.RotationState
import org.heatherwind.core.overload.WindowDelay
import org.heatherwind.gateway.telemetry.DecisionLog
import kotlin.random.Random

/**
 * Leads callers to other routers while this one is overloaded: it is not ready, refuses a share of the requests, and
 * ends a share of the connections with their responses. Confined to the event loop.
 *
 * @param haveOthersRoom returns whether callers that are refused find routers that are not overloaded
 */
internal class LoadShedding(
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val haveOthersRoom: () -> Boolean,
    private val random: Random = Random.Default,
) {
    private val share = AdmittedShare()
    private val rotation = RotationState(ANSWERS_UNTIL_REMOVED)

    /** Requests that arrived in the current window. */
    private var arrivedRequests = 0
    private var refusedRequests = 0

    /** Whether the router is, or was a moment ago, overloaded. */
    val isOverloaded: Boolean get() = rotation.isOverloaded(clock.now())

    /** The share of requests that are served. */
    val admittedShare: Double get() = share.value

    /** When a refused caller should return: once new connections reach other routers. */
    val retryAfterMilliseconds: Long
        get() = RETURN_MILLISECONDS + rotation.missingAnswers * ANSWER_INTERVAL_MILLISECONDS

    /** Whether callers should open their connections elsewhere. */
    val isLeavingRotation: Boolean get() = isOverloaded && haveOthersRoom()

    /** Records whether the load balancer was told that the router is ready. */
    fun recordReadiness(isReady: Boolean): Unit = rotation.recordAnswer(isReady)

    /** Returns whether a request that has just arrived is served. */
    fun admits(): Boolean {
        val isAdmitted = share.admits(random.nextDouble()) || !haveOthersRoom()
        arrivedRequests++
        if (!isAdmitted) refusedRequests++
        return isAdmitted
    }

    /** Returns whether a connection is kept after a response; its caller opens the next one elsewhere. */
    fun keepsConnection(): Boolean = !rotation.isRemoved || share.admits(random.nextDouble())

    /** Adjusts the share to the delays of the [window] that has ended. */
    fun adjust(window: WindowDelay) {
        val earlierShare = share.value
        share.adjust(window)
        if (window.isOverloaded) rotation.recordOverload(clock.now())
        if (share.value != earlierShare) {
            log.stateChange(
                "overload",
                "Changed the share of requests that are served.",
                "share" to share.value,
                "earlier" to earlierShare,
                "pressure" to window.pressure,
                "arrived" to arrivedRequests,
                "refused" to refusedRequests,
                "isRemoved" to rotation.isRemoved,
                "haveOthersRoom" to haveOthersRoom(),
            )
        }
        arrivedRequests = 0
        refusedRequests = 0
    }

    private companion object {
        /** The load balancer removes a router that was not ready twice, and asks once a second. */
        const val ANSWERS_UNTIL_REMOVED = 2
        const val ANSWER_INTERVAL_MILLISECONDS = 1_000L
        const val RETURN_MILLISECONDS = 10L
    }
}
