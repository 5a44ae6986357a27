package org.heatherwind.scenarios.refusals

import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random

/** One request of a trace: its arrival time, the index of its entry router, and worst-case and used tokens. */
public data class TracedRequest(
    val atMilliseconds: Long,
    val router: Int,
    val worstCaseTokens: Long,
    val usedTokens: Long,
)

/**
 * Demand on one budget through several entry routers. The routers differ in load, and their fractions of the demand
 * shift over time.
 *
 * @property requests ordered by arrival time
 */
public class DemandTrace private constructor(public val requests: List<TracedRequest>) {
    /** Tokens that all requests use together. */
    public val totalTokens: Long get() = requests.sumOf { it.usedTokens }

    public companion object {
        private const val SHIFT_PERIOD_SECONDS = 900.0
        private const val MINIMUM_ROUTER_LOAD = 0.2
        private const val MEAN_WEIGHT = 1.5
        private const val MINIMUM_WORST_TOKENS = 200L
        private const val MAXIMUM_WORST_TOKENS = 1_200L
        private const val MINIMUM_USED_TOKENS = 50L
        private const val MILLISECONDS_PER_SECOND = 1_000.0

        /**
         * Generates a trace of [seconds] with [requestsPerSecond] over [routerCount] routers, reproducible from
         * [seed].
         */
        public fun generate(seed: Long, seconds: Int, requestsPerSecond: Double, routerCount: Int): DemandTrace {
            val random = Random(seed)
            val loads = List(routerCount) { random.nextDouble(MINIMUM_ROUTER_LOAD, 1.0) }
            val requests = List((seconds * requestsPerSecond).toInt()) {
                val second = random.nextDouble() * seconds
                val worst = random.nextLong(MINIMUM_WORST_TOKENS, MAXIMUM_WORST_TOKENS)
                TracedRequest(
                    atMilliseconds = (second * MILLISECONDS_PER_SECOND).toLong(),
                    router = routerAt(second, loads, random),
                    worstCaseTokens = worst,
                    usedTokens = random.nextLong(MINIMUM_USED_TOKENS, worst + 1),
                )
            }
            return DemandTrace(requests.sortedBy { it.atMilliseconds })
        }

        private fun routerAt(second: Double, loads: List<Double>, random: Random): Int {
            val weights = loads.mapIndexed { router, load ->
                load * (MEAN_WEIGHT + sin(2 * PI * (second / SHIFT_PERIOD_SECONDS + router.toDouble() / loads.size)))
            }
            var remainingWeight = random.nextDouble() * weights.sum()
            weights.forEachIndexed { router, weight ->
                remainingWeight -= weight
                if (remainingWeight < 0) return router
            }
            return loads.lastIndex
        }
    }
}
