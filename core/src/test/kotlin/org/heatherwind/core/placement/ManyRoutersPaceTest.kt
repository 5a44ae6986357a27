package org.heatherwind.core.placement

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.target.TargetEntry
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertTrue

/** An entry of a target with 16 slots. */
internal fun placementEntry(id: String) = TargetEntry(
    id = TargetId(id),
    service = ServiceId("service"),
    host = "127.0.0.1",
    port = 1,
    dataCentre = DataCentreId("centre"),
    version = "1",
    slots = 16,
    isDraining = false,
)

/**
 * Given ten empty targets that come back at once before 80 routers, whose views of the load are 200 ms old and which
 * have work for four times as many targets, when they are paced, then the targets fill within a few round trips and not
 * many times above their slots.
 */
class ManyRoutersPaceTest {
    private class Outcome(val peak: Int, val filledAt: Long) {
        /** Milliseconds after which the last request in flight begins, if each turn takes a round trip. */
        val startsWithin: Double = peak.toDouble() / SLOTS * ROUND_TRIP
    }

    @TestFactory
    fun `targets that come back together are neither flooded nor left idle`(): List<DynamicTest> =
        List(HISTORIES) { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val paced = play(seed, isPaced = true)
                val flooded = play(seed, isPaced = false)
                println("seed $seed: paced peak ${paced.peak}, filled at ${paced.filledAt}; unpaced ${flooded.peak}")
                assertTrue(paced.startsWithin <= SHORT_STREAM_OBJECTIVE, "peak ${paced.peak} of $SLOTS slots")
                assertTrue(paced.filledAt <= 5 * ROUND_TRIP, "filled after ${paced.filledAt} ms")
                assertTrue(flooded.peak > 8 * SLOTS, "the load floods nothing: ${flooded.peak}")
            }
        }

    // Guards against routers of a quiet service, which know of no requests, taking their turns all at once.
    @TestFactory
    fun `targets of a service that was quiet are not flooded`(): List<DynamicTest> = List(HISTORIES) { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val paced = play(seed, isPaced = true, recentRequests = 0)
            println("quiet, seed $seed: peak ${paced.peak}, filled at ${paced.filledAt}")
            assertTrue(paced.startsWithin <= SHORT_STREAM_OBJECTIVE, "peak ${paced.peak} of $SLOTS slots")
        }
    }

    private fun play(seed: Int, isPaced: Boolean, recentRequests: Int = RECENT_REQUESTS): Outcome {
        val random = Random(seed)
        val ids = List(ROUTERS) { InstanceId("router-$it") }.toSet()
        val targets = List(TARGETS) { ToyTarget(it) }
        val sharings = ids.map { self -> PaceSharing(self, { ids }) }
        val paces = sharings.map { sharing ->
            repeat(recentRequests) { sharing.recordSent(MonotonicTime(it * 50L - 1_000)) }
            targets.indices.map { index ->
                TargetPace(TargetId("target-$seed-$index"), { SLOTS }, sharing).also {
                    if (isPaced) it.begin(PaceCause.ADDED, MonotonicTime(0))
                }
            }
        }
        var filledAt = Long.MAX_VALUE
        for (now in 0L until DURATION) {
            targets.forEach { it.advance(now, paces) }
            for (router in 0 until ROUTERS) {
                val hasWork = random.nextDouble() < ARRIVALS_PER_MILLISECOND
                if (hasWork &&
                    !send(router, targets, paces[router], now)
                ) {
                    sharings[router].recordSent(MonotonicTime(now))
                }
            }
            if (filledAt == Long.MAX_VALUE && targets.all { it.inFlight.size >= SLOTS * 3 / 4 }) filledAt = now
        }
        return Outcome(targets.maxOf { it.history.max() }, filledAt)
    }

    /** Sends a request to the returned target that looks emptiest; returns false if others look emptier. */
    private fun send(router: Int, targets: List<ToyTarget>, paces: List<TargetPace>, now: Long): Boolean {
        val open = targets.indices.filter { paces[it].isOpen(targets[it].own(router), MonotonicTime(now)) }
        val index = open.minByOrNull { targets[it].loadSeenBy(router, now) } ?: return false
        if (targets[index].loadSeenBy(router, now) >= LOAD_OF_OTHERS) return false
        targets[index].accept(router, now, paces[index])
        return true
    }

    private class Work(val router: Int, val sentAt: Long) {
        var startedAt: Long? = null
    }

    /** Serves as many requests at a time as it has slots, the others in order of arrival. */
    private class ToyTarget(private val index: Int) {
        val inFlight = ArrayList<Work>()
        val history = ArrayList<Int>()
        private val answered = HashSet<Int>()

        fun own(router: Int) = inFlight.count { it.router == router }

        fun loadSeenBy(router: Int, now: Long): Int {
            val stated = if (router in answered) history.getOrElse((now - STALENESS).toInt()) { 0 } else 0
            return maxOf(stated, own(router))
        }

        fun accept(router: Int, now: Long, pace: TargetPace) {
            pace.recordSent(MonotonicTime(now))
            inFlight += Work(router, now)
        }

        fun advance(now: Long, paces: List<List<TargetPace>>) {
            inFlight.removeAll { it.startedAt?.let { start -> now - start >= RUN } == true }
            inFlight.take(SLOTS).forEach { work -> if (work.startedAt == null) work.startedAt = now }
            for (work in inFlight.filter { it.startedAt == now - ROUND_TRIP }) {
                answered += work.router
                val request = InFlightRequest(0.0, 0, ROUND_TRIP.toDouble(), MonotonicTime(work.sentAt))
                val pace = paces[work.router][index]
                pace.recordAnswer(request, (now - work.sentAt).toDouble(), MonotonicTime(now))
            }
            history += inFlight.size
        }
    }

    private companion object {
        const val HISTORIES = 20
        const val ROUTERS = 80
        const val TARGETS = 10
        const val SLOTS = 16

        /** Requests in flight on each target that was there before. */
        const val LOAD_OF_OTHERS = 10
        const val ROUND_TRIP = 100L
        const val RUN = 400L
        const val RECENT_REQUESTS = 20
        const val STALENESS = 200L

        /** Milliseconds within which a short stream is to begin: one that waits for its turn must do so too. */
        const val SHORT_STREAM_OBJECTIVE = 300.0

        /** Until each router had its turn; from then on the choice by the load that targets report is on its own. */
        const val DURATION = 1_700L

        /** Work of 40 targets. */
        const val ARRIVALS_PER_MILLISECOND = 40.0 * SLOTS / RUN / ROUTERS
    }
}
