package org.heatherwind.core.admission

import org.heatherwind.core.identity.CustomerId

/**
 * The order in which waiting requests get places: by rank, then by turns of the customers, so that a customer's tenth
 * request does not go before another's first, then by the time until which they may wait. One that was refused before
 * is one turn ahead. Every eighth place goes to the request that has waited longest, whatever its rank, so that none
 * starves. Sizes do not matter, since each request takes one place. Confined to one thread.
 *
 * @param capacity largest number of requests that wait
 */
public class WaitingOrder(private val capacity: Int) {
    private val waiting = LinkedHashSet<WaitingRequest>()
    private val nextTurns = HashMap<Pair<Int, CustomerId?>, Long>()

    /** Turn of the last request of each rank that got a place; a customer that comes later begins there. */
    private val currentTurns = HashMap<Int, Long>()
    private var places = 0L

    /** Number of requests that wait. */
    public val size: Int get() = waiting.size

    /** Adds [request]. Returns the request that has to go if there are too many, which may be [request], or null. */
    public fun add(request: WaitingRequest): WaitingRequest? {
        if (request.turn == null) request.turn = takeTurn(request)
        waiting += request
        if (waiting.size <= capacity) return null
        return waiting.maxWith(order).also { waiting -= it }
    }

    private fun takeTurn(request: WaitingRequest): Long {
        val key = request.rank to request.customer
        val currentTurn = currentTurns[request.rank] ?: 0
        val turn = maxOf(nextTurns[key] ?: currentTurn, currentTurn)
        nextTurns[key] = turn + 1
        return if (request.wasRefused) turn - 1 else turn
    }

    /** Removes [request], which waits no longer. */
    public fun remove(request: WaitingRequest) {
        waiting -= request
        if (waiting.isNotEmpty()) return
        nextTurns.clear()
        currentTurns.clear()
    }

    /** Returns the request that is to get the next place and is not among [passed], or null if there is none. */
    public fun next(passed: Set<WaitingRequest> = emptySet()): WaitingRequest? {
        val rest = if (passed.isEmpty()) waiting else waiting.filterNot { it in passed }
        val isForLongest = places % FAIR_SHARE == FAIR_SHARE - 1
        return if (isForLongest) rest.minByOrNull { it.arrivedAt } else rest.minWithOrNull(order)
    }

    /** Returns whether [request] waits. */
    public operator fun contains(request: WaitingRequest): Boolean = request in waiting

    /** Removes [request], which got a place. */
    public fun recordPlaced(request: WaitingRequest) {
        places++
        request.turn?.let { currentTurns[request.rank] = maxOf(currentTurns[request.rank] ?: 0, it) }
        remove(request)
    }

    private companion object {
        val order: Comparator<WaitingRequest> =
            compareBy<WaitingRequest> { it.rank }.thenBy { it.turn ?: 0 }.thenBy { it.until }

        /** Leaves nearly all places to the urgent, and the others more than none. */
        const val FAIR_SHARE = 8L
    }
}
