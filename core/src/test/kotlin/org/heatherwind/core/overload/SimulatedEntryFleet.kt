package org.heatherwind.core.overload

import org.heatherwind.core.identity.MonotonicTime
import kotlin.random.Random

/**
 * Callers and routers in front of targets that always have room, in steps of one millisecond. A load balancer connects
 * each caller to the first router in the order of the caller that is in rotation; open connections stay. A request
 * takes bytes of its router's link when it arrives, and as many again over the time of its stream.
 *
 * @param busy callers that send [factor] times as many requests as the callers of another router together
 * @param utilization share of each link that the other callers take
 * @param isShedding whether routers that are overloaded leave the rotation and refuse a share
 */
internal class SimulatedEntryFleet(
    routers: Int,
    busy: Int,
    private val factor: Double,
    private val utilization: Double,
    private val isShedding: Boolean,
    seed: Int,
) {
    private class Router {
        val delays = QueueingDelays()
        val share = AdmittedShare()
        val rotation = RotationState(ANSWERS_UNTIL_REMOVED)
        val streamEnds = ArrayDeque<Int>()
        var queuedBytes = 0.0

        val queueMilliseconds get() = queuedBytes / BYTES_PER_MILLISECOND
    }

    private inner class Caller(val isBusy: Boolean, private val first: Int) {
        private val connections = ArrayDeque<Int>()
        private val step = 1 + random.nextInt(routers.size - 1)
        private val arrivals =
            utilization * BYTES_PER_MILLISECOND / (2 * REQUEST_BYTES) * if (isBusy) factor else 1.0 / CALLERS_PER_ROUTER
        var requests = 0
        var inTime = 0

        fun step(now: Int) {
            if (random.nextDouble() >= arrivals) return
            requests++
            val kept = if (random.nextDouble() < KEPT_SHARE) connections.removeLastOrNull() else null
            send(now, kept ?: connect(), isRetry = false)
        }

        private fun connect(): Int = generateSequence(first) { (it + step) % routers.size }
            .take(ORDER_LENGTH).firstOrNull { !routers[it].rotation.isRemoved } ?: first

        fun send(now: Int, index: Int, isRetry: Boolean) {
            val router = routers[index]
            if (!mayServe(router, now)) {
                if (!isRetry && router.rotation.isRemoved) returns.addLast(Return(now + RETRY_MILLISECONDS, this))
                return
            }
            if (serve(router, now)) inTime++
            if (!router.rotation.isRemoved || router.share.admits(random.nextDouble())) connections.addLast(index)
        }

        fun retry(now: Int) = send(now, connect(), isRetry = true)
    }

    private class Return(val at: Int, val caller: Caller)

    private val random = Random(seed)
    private val routers = List(routers) { Router() }
    private val returns = ArrayDeque<Return>()
    private val callers = List(routers * CALLERS_PER_ROUTER) { Caller(isBusy = false, it % routers) } +
        List(busy) { Caller(isBusy = true, it) }

    /** Returns the share of the requests that were in time: of the busy callers, and of all others. */
    fun run(milliseconds: Int): Pair<Double, Double> {
        repeat(milliseconds) { now ->
            while (returns.firstOrNull()?.let { it.at <= now } == true) returns.removeFirst().caller.retry(now)
            callers.forEach { it.step(now) }
            routers.forEachIndexed { index, router -> step(router, now + index) }
        }
        return shareOf(callers.filter { it.isBusy }) to shareOf(callers.filterNot { it.isBusy })
    }

    private fun shareOf(callers: List<Caller>) = callers.sumOf { it.inTime }.toDouble() / callers.sumOf { it.requests }

    private fun step(router: Router, now: Int) {
        while (router.streamEnds.firstOrNull()?.let { it <= now } == true) router.streamEnds.removeFirst()
        router.queuedBytes += router.streamEnds.size * REQUEST_BYTES / STREAM_MILLISECONDS
        router.queuedBytes = maxOf(0.0, router.queuedBytes - BYTES_PER_MILLISECOND)
        if (now % TURN_MILLISECONDS == 0) router.delays.recordTurn(0)
        if (now % WINDOW_MILLISECONDS == 0) endWindow(router, at(now))
        if (now % PROBE_MILLISECONDS == 0) {
            val isLeaving = router.rotation.isOverloaded(at(now)) && haveOthersRoom(router, now)
            router.rotation.recordAnswer(isReady = !isLeaving)
        }
    }

    private fun endWindow(router: Router, now: MonotonicTime) {
        val window = router.delays.endWindow()
        if (!isShedding) return
        router.share.adjust(window)
        if (window.isOverloaded) router.rotation.recordOverload(now)
    }

    private fun at(now: Int) = MonotonicTime(now.toLong())

    private fun haveOthersRoom(router: Router, now: Int): Boolean =
        routers.count { it !== router && it.rotation.isOverloaded(at(now)) } * ROOM_DIVISOR < routers.size - 1

    private fun mayServe(router: Router, now: Int): Boolean =
        router.share.admits(random.nextDouble()) || !haveOthersRoom(router, now)

    /** Returns whether the request is in time. */
    private fun serve(router: Router, now: Int): Boolean {
        if (random.nextDouble() < NEW_CONNECTION_SHARE) {
            router.delays.recordConnect(CONNECT_MILLISECONDS + router.queueMilliseconds.toLong())
        }
        val isInTime = router.queueMilliseconds <= IN_TIME_MILLISECONDS
        router.queuedBytes += REQUEST_BYTES
        router.streamEnds.addLast(now + STREAM_MILLISECONDS)
        return isInTime
    }

    private companion object {
        /** A link of 10 Mbit/s. */
        const val BYTES_PER_MILLISECOND = 1_250.0
        const val REQUEST_BYTES = 6_500.0
        const val STREAM_MILLISECONDS = 1_500
        const val NEW_CONNECTION_SHARE = 0.3
        const val CONNECT_MILLISECONDS = 2L
        const val CALLERS_PER_ROUTER = 4

        /** How often a caller uses a connection that it has, if it has one. */
        const val KEPT_SHARE = 0.8
        const val RETRY_MILLISECONDS = 15
        const val TURN_MILLISECONDS = 50
        const val WINDOW_MILLISECONDS = 250
        const val PROBE_MILLISECONDS = 1_000
        const val ANSWERS_UNTIL_REMOVED = 2
        const val ROOM_DIVISOR = 4
        const val ORDER_LENGTH = 20

        /** What a request and its answer, which cross the link four times, may wait for it within their objective. */
        const val IN_TIME_MILLISECONDS = 60.0
    }
}
