package org.heatherwind.scenarios.refusals

import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random

/** One request of a trace: when, on which side, and its tokens. */
public data class TracedRequest(val atMilliseconds: Long, val side: Int, val worstTokens: Long, val usedTokens: Long)

/**
 * Demand on one budget from several sides of unequal size, whose shares of it shift over time.
 *
 * @property requests in order of time
 * @property totalTokens tokens that all of them use
 */
public class DemandTrace private constructor(public val requests: List<TracedRequest>) {
    /** Tokens that all requests use together. */
    public val totalTokens: Long get() = requests.sumOf { it.usedTokens }

    public companion object {
        private const val SHIFT_SECONDS = 900.0
        private const val SMALLEST_SIDE = 0.2
        private const val MEAN_SWING = 1.5
        private const val LEAST_WORST_TOKENS = 200L
        private const val MOST_WORST_TOKENS = 1_200L
        private const val LEAST_USED_TOKENS = 50L
        private const val MILLISECONDS_PER_SECOND = 1_000.0

        /** A trace of [seconds] with [requestsPerSecond] over [sides] sides. */
        public fun generate(seed: Long, seconds: Int, requestsPerSecond: Double, sides: Int): DemandTrace {
            val random = Random(seed)
            val sizes = List(sides) { random.nextDouble(SMALLEST_SIDE, 1.0) }
            val requests = List((seconds * requestsPerSecond).toInt()) {
                val second = random.nextDouble() * seconds
                val worst = random.nextLong(LEAST_WORST_TOKENS, MOST_WORST_TOKENS)
                TracedRequest(
                    atMilliseconds = (second * MILLISECONDS_PER_SECOND).toLong(),
                    side = sideAt(second, sizes, random),
                    worstTokens = worst,
                    usedTokens = random.nextLong(LEAST_USED_TOKENS, worst + 1),
                )
            }
            return DemandTrace(requests.sortedBy { it.atMilliseconds })
        }

        private fun sideAt(second: Double, sizes: List<Double>, random: Random): Int {
            val weights = sizes.mapIndexed { side, size ->
                size * (MEAN_SWING + sin(2 * PI * (second / SHIFT_SECONDS + side.toDouble() / sizes.size)))
            }
            var rest = random.nextDouble() * weights.sum()
            weights.forEachIndexed { side, weight ->
                rest -= weight
                if (rest < 0) return side
            }
            return sizes.lastIndex
        }
    }
}
