package org.heatherwind.core.rollout

import kotlin.math.ln

/** Log-likelihood ratios of answers under "the version is worse" and under "the version is as the established one". */
internal object LikelihoodRatio {
    /**
     * Returns the ratio of the answers [introduced], where under the alternative a [fraction] of them is slower by
     * [shift] buckets than those of the established version.
     *
     * @param established histogram of the established version on the same route
     * @param pooled histogram of the established version on all routes, which stands in where a route has few answers
     */
    fun ofTimes(
        introduced: LongArray,
        established: LongArray,
        pooled: LongArray,
        shift: Int,
        fraction: Double,
    ): Double {
        if (introduced.all { it == 0L }) return 0.0
        val base = distribution(established, distribution(pooled, UNIFORM, UNIFORM_WEIGHT), POOLED_WEIGHT)
        val shifted = DoubleArray(base.size)
        base.forEachIndexed { bucket, share -> shifted[minOf(bucket + shift, base.lastIndex)] += share }
        return introduced.indices.sumOf { bucket ->
            val alternative = (1 - fraction) * base[bucket] + fraction * maxOf(shifted[bucket], MINIMUM_SHARE)
            introduced[bucket] * ln(alternative / base[bucket])
        }
    }

    /** Returns the ratio of the answers [introduced], where under the alternative [excess] more of them fail. */
    fun ofFailures(introduced: AnswerCounts, established: AnswerCounts, excess: Double): Double {
        val base = (established.failures + FAILURE_WEIGHT * FAILURE_SHARE) / (established.answers + FAILURE_WEIGHT)
        val alternative = base + (1 - base) * excess
        val successes = introduced.answers - introduced.failures
        return introduced.failures * ln(alternative / base) + successes * ln((1 - alternative) / (1 - base))
    }

    private fun distribution(counts: LongArray, prior: DoubleArray, priorWeight: Double): DoubleArray {
        val sum = counts.sum() + priorWeight
        return DoubleArray(counts.size) { (counts[it] + prior[it] * priorWeight) / sum }
    }

    private val UNIFORM = DoubleArray(AnswerCounts.BUCKETS) { 1.0 / AnswerCounts.BUCKETS }
    private const val UNIFORM_WEIGHT = 8.0
    private const val POOLED_WEIGHT = 12.0
    private const val MINIMUM_SHARE = 0.005

    /** Answers, and their share of failures, that are assumed before the first one. */
    private const val FAILURE_WEIGHT = 20.0
    private const val FAILURE_SHARE = 0.03
}
