package org.heatherwind.gateway.serve

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.admission.RoomEstimate
import org.heatherwind.core.admission.WaitingOrder
import org.heatherwind.core.admission.WaitingRequest
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId

/** The waiting rooms of the services at this router. Confined to the event loop. */
internal class WaitingRooms(private val clock: MonotonicClock) {
    private val rooms = HashMap<ServiceId, WaitingRoom>()

    /** Number of requests that wait. */
    val size: Int get() = rooms.values.sumOf { it.size }

    fun of(service: ServiceId): WaitingRoom = rooms.getOrPut(service) { WaitingRoom(clock) }
}

/** How a wait ended. */
internal enum class WaitResult {
    /** The request may look for a target. */
    CALLED,

    /** The time until which it could wait has passed. */
    TIME_OVER,

    /** Too many others go before it. */
    EVICTED,
}

/** The requests that wait at this router for a target of one service. Confined to the event loop. */
internal class WaitingRoom(private val clock: MonotonicClock, capacity: Int = CAPACITY) {
    private val order = WaitingOrder(capacity)
    private val calls = HashMap<WaitingRequest, CompletableDeferred<WaitResult>>()

    /** Requests that found no target since the last [callNext]. */
    private val passed = HashSet<WaitingRequest>()
    private var lookedAt = MonotonicTime.distantPast

    /** When the targets of the service have room. */
    val estimate = RoomEstimate()

    /** Number of requests that wait. */
    val size: Int get() = order.size

    /**
     * Waits until it is the turn of [request] to look for a target, at most until [until]. After [WaitResult.CALLED],
     * [recordPlaced], [leave] or another [await] must follow; the last passes its call on if others may use targets
     * that it may not.
     *
     * @param isTargetOpen whether a target takes requests now, so that the first one is called at once
     */
    suspend fun await(
        request: WaitingRequest,
        isTargetOpen: Boolean,
        until: MonotonicTime = request.until,
    ): WaitResult {
        val call = CompletableDeferred<WaitResult>()
        val hasLooked = request in order
        calls[request] = call
        order.add(request)?.let { calls.remove(it)?.complete(WaitResult.EVICTED) }
        when {
            isTargetOpen -> callNext()
            hasLooked && request.isRestricted -> passOn(request)
        }
        var result = WaitResult.TIME_OVER
        try {
            while (true) {
                val remaining = until.millisecondsSince(clock.now()).coerceAtMost(LOOK_MILLISECONDS)
                if (remaining > 0) withTimeoutOrNull(remaining) { call.await() }
                if (call.isCompleted) result = call.await()
                if (call.isCompleted || remaining <= 0) return result
                look()
            }
        } finally {
            if (result != WaitResult.CALLED) leave(request)
        }
    }

    /** Records that [request] is sent to a target. */
    fun recordPlaced(request: WaitingRequest) {
        passed -= request
        order.recordPlaced(request)
    }

    /** Removes [request], which is not sent; the next one may look. */
    fun leave(request: WaitingRequest) {
        calls -= request
        passed -= request
        order.remove(request)
    }

    /** Calls the first request in the order, since a target may have a place for it, unless it is looking already. */
    fun callNext() {
        lookedAt = clock.now()
        passed.clear()
        call(order.next())
    }

    /** Calls the next request after [request], which found no target. */
    private fun passOn(request: WaitingRequest) {
        passed += request
        call(order.next(passed))
    }

    private fun call(request: WaitingRequest?) {
        calls.remove(request)?.complete(WaitResult.CALLED)
    }

    private fun look() {
        if (clock.now().millisecondsSince(lookedAt) >= LOOK_MILLISECONDS) callNext()
    }

    private companion object {
        /**
         * More requests than a router has places for within half of an objective, and few enough that finding the first
         * takes no noticeable time.
         */
        const val CAPACITY = 64

        /** How often the first request looks whether a pause or a suspicion has ended, of which nothing else tells. */
        const val LOOK_MILLISECONDS = 20L
    }
}
