package org.heatherwind.core.rollout

/**
 * How roll-outs proceed.
 *
 * @property exposureLimit share of a service's requests that a version may get before it is completed
 */
public data class RolloutPolicy(val exposureLimit: Double = 0.1) {
    /** Returns the share of requests for a version of which [answers] are known. */
    public fun share(answers: Long): Double =
        exposureLimit * (if (answers < FIRST_STEP_ANSWERS) FIRST_STEP_FRACTION else LAST_STEP_FRACTION)

    /**
     * Returns how many targets of the new version share its requests, so that each gets about as many as one of the
     * [established] targets and times can be compared.
     */
    public fun targetCount(established: Int, answers: Long): Int {
        val share = share(answers)
        return Math.ceil(established * share / (1 - share)).toInt().coerceAtLeast(1)
    }

    /** Returns how long before its deadline a roll-out of [durationMilliseconds] is completed or rolled back. */
    public fun reserveMilliseconds(durationMilliseconds: Long): Long =
        minOf(RESERVE_MILLISECONDS, durationMilliseconds / RESERVE_DIVISOR)

    private companion object {
        const val FIRST_STEP_ANSWERS = 6L
        const val FIRST_STEP_FRACTION = 0.4

        /** Leaves room for chance, as each request is drawn by itself. */
        const val LAST_STEP_FRACTION = 0.8

        /** Time for the status to be stored, with several attempts. */
        const val RESERVE_MILLISECONDS = 2_000L
        const val RESERVE_DIVISOR = 4
    }
}
