package org.heatherwind.core.rollout

import kotlin.math.floor
import kotlin.math.ln

/**
 * Counters of the answers of one version on one route. They only grow, so that counters of several routers can be
 * added up and a missed report is made up by the next one.
 *
 * [values] holds the number of answers, the number of failures, a histogram of the time to the first event and one of
 * the time between events. Both histograms have logarithmic buckets of half an octave.
 */
public class AnswerCounts private constructor(private val values: LongArray) {
    public constructor() : this(LongArray(SIZE))

    /** Number of answers, including those that are still overdue. */
    public val answers: Long get() = values[0]

    /** Number of answers that failed. */
    public val failures: Long get() = values[1]

    /** Counts an answer that ended, or is so late that it counts as ended. */
    public fun recordAnswer(isFailure: Boolean) {
        values[0]++
        if (isFailure) values[1]++
    }

    /** Counts a first event after [actualMilliseconds], where [expectedMilliseconds] were predicted. */
    public fun recordFirstEvent(actualMilliseconds: Double, expectedMilliseconds: Double) {
        values[FIRST_EVENT_START + bucketOf(firstEventRatio(actualMilliseconds, expectedMilliseconds))]++
    }

    /** Counts a stream with [millisecondsPerEvent] between its events. */
    public fun recordPace(millisecondsPerEvent: Double) {
        values[PACE_START + bucketOf(millisecondsPerEvent.coerceAtLeast(1.0) / REFERENCE_PACE_MILLISECONDS)]++
    }

    /** Returns the histogram of [signal]. */
    public fun histogram(signal: TimeSignal): LongArray = when (signal) {
        TimeSignal.FirstEvent -> values.copyOfRange(FIRST_EVENT_START, PACE_START)
        TimeSignal.Pace -> values.copyOfRange(PACE_START, SIZE)
    }

    /** Returns the sum of both counters. */
    public operator fun plus(other: AnswerCounts): AnswerCounts =
        AnswerCounts(LongArray(SIZE) { values[it] + other.values[it] })

    /** Returns what was counted here since [earlier]. */
    public operator fun minus(earlier: AnswerCounts): AnswerCounts =
        AnswerCounts(LongArray(SIZE) { (values[it] - earlier.values[it]).coerceAtLeast(0) })

    /** Returns the counters as a list of numbers without the zeros at its end. */
    public fun toList(): List<Long> = values.toList().dropLastWhile { it == 0L }

    public companion object {
        /** Buckets of each histogram; the first and the last also hold what lies beyond. */
        public const val BUCKETS: Int = 16
        private const val FIRST_EVENT_START = 2
        private const val PACE_START = FIRST_EVENT_START + BUCKETS
        private const val SIZE = PACE_START + BUCKETS
        private const val BUCKETS_PER_OCTAVE = 2

        /** Bucket of the ratio 1; slower answers need more buckets than faster ones. */
        private const val BUCKET_OF_ONE = 6
        private const val REFERENCE_PACE_MILLISECONDS = 25.0

        /** Added to both times, so that very short ones, which are mostly network delay, give no extreme ratios. */
        private const val SMOOTHING_MILLISECONDS = 40.0

        /** Returns the counters in [numbers], which [toList] returned, or null for other lists. */
        public fun of(numbers: List<Long>): AnswerCounts? {
            if (numbers.size > SIZE || numbers.any { it < 0 }) return null
            return AnswerCounts(LongArray(SIZE) { numbers.getOrElse(it) { 0 } })
        }

        /** Returns the ratio of a time to the first event to the predicted one. */
        public fun firstEventRatio(actualMilliseconds: Double, expectedMilliseconds: Double): Double =
            (actualMilliseconds + SMOOTHING_MILLISECONDS) / (expectedMilliseconds + SMOOTHING_MILLISECONDS)

        private fun bucketOf(ratio: Double): Int =
            (floor(ln(ratio) / ln(2.0) * BUCKETS_PER_OCTAVE).toInt() + BUCKET_OF_ONE).coerceIn(0, BUCKETS - 1)
    }
}

/** A time by which versions are compared. */
public enum class TimeSignal {
    /** Time to the first event, in relation to the predicted time. */
    FirstEvent,

    /** Time between the events of a stream. */
    Pace,
}
