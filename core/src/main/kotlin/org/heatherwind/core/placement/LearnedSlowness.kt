package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime
import kotlin.math.exp
import kotlin.math.ln

/**
 * The factor by which a target takes longer than one of usual speed, as learned from its first events by this router,
 * and as other routers that have learned it state it. Its weight falls within some tens of seconds, since what was slow
 * may have been a passing trouble. Confined to one thread.
 */
public class LearnedSlowness {
    private val own = Evidence()

    /** What each of the other routers has stated last. */
    private val statements = object : LinkedHashMap<String, Evidence>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Evidence>): Boolean = size > MAXIMUM_STATEMENTS
    }

    /** Records at [now] that a first event took [actualMilliseconds], where [expectedMilliseconds] are usual. */
    public fun observe(expectedMilliseconds: Double, actualMilliseconds: Double, now: MonotonicTime) {
        val ratio = LatencyRatioEstimate.ratioOf(expectedMilliseconds, actualMilliseconds)
        // Short times are mostly the network's, and say little about the target.
        val weight = expectedMilliseconds / (expectedMilliseconds + HALF_WEIGHT_MILLISECONDS)
        own.add(ratio, weight, now)
    }

    /**
     * Records that the router [source] stated at [now] that it has learned [slowness]; nonsense is ignored. Only its
     * last statement counts, however often it repeats it.
     */
    public fun recordStated(slowness: Double, source: String, now: MonotonicTime) {
        if (!slowness.isFinite() || slowness <= 0) return
        statements.remove(source)
        statements[source] = Evidence().apply { add(slowness, STATED_WEIGHT, now) }
    }

    /** Returns the factor at [now], nearer to 1 the less is known. */
    public fun factor(now: MonotonicTime): Double {
        var sum = own.sum(now)
        var weight = own.weight(now)
        statements.values.forEach {
            sum += it.sum(now)
            weight += it.weight(now)
        }
        return exp(sum / (weight + USUAL_WEIGHT))
    }

    /** Returns what this router alone has learned, or null if that is too little for other routers. */
    public fun ownFactor(now: MonotonicTime): Double? {
        val weight = own.weight(now)
        return if (weight < STATED_WEIGHT) null else exp(own.sum(now) / weight)
    }

    /** A weighted sum of logarithms of factors, which is forgotten with time. */
    private class Evidence {
        private var sum = 0.0
        private var weight = 0.0
        private var updatedAt = MonotonicTime.distantPast

        fun add(factor: Double, addedWeight: Double, now: MonotonicTime) {
            val bounded = ln(factor.coerceIn(MINIMUM_FACTOR, MAXIMUM_FACTOR))
            sum = sum(now) + bounded * addedWeight
            weight = weight(now) + addedWeight
            updatedAt = now
            if (weight > MAXIMUM_WEIGHT) {
                sum *= MAXIMUM_WEIGHT / weight
                weight = MAXIMUM_WEIGHT
            }
        }

        fun sum(now: MonotonicTime): Double = sum * retention(now)

        fun weight(now: MonotonicTime): Double = weight * retention(now)

        private fun retention(now: MonotonicTime): Double =
            exp(-now.millisecondsSince(updatedAt) / LIFETIME_MILLISECONDS)
    }

    private companion object {
        /** Machines of one service differ by less than this; what is slower than that has failed. */
        const val MINIMUM_FACTOR = 0.4
        const val MAXIMUM_FACTOR = 3.0

        /** Weight of the assumption that a target is of usual speed, in long requests. */
        const val USUAL_WEIGHT = 1.0

        /** A statement rests on at least this much of the other router's evidence. */
        const val STATED_WEIGHT = 0.5

        /** As many answers, at the new speed, are to outweigh what was learned before. */
        const val MAXIMUM_WEIGHT = 4.0

        /** With these, the others together weigh as much as this router's own evidence may. */
        const val MAXIMUM_STATEMENTS = 8

        /** Expected time at which an observation says half as much as a very long one. */
        const val HALF_WEIGHT_MILLISECONDS = 50.0

        /** A target that is passed over as slow has to be tried again before callers have missed it for long. */
        const val LIFETIME_MILLISECONDS = 20_000.0
    }
}
