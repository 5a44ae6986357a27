package org.heatherwind.core.identity

/**
 * A time on the monotonic clock of this process, in milliseconds from an arbitrary origin. It is not affected by
 * changes of the wall clock, and is not comparable between processes.
 */
@JvmInline
public value class MonotonicTime(public val milliseconds: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime): Int = milliseconds.compareTo(other.milliseconds)

    /** Returns the time [count] milliseconds later. */
    public fun plusMilliseconds(count: Long): MonotonicTime = MonotonicTime(milliseconds + count)

    /** Returns the milliseconds from [earlier] to this time, which are negative if [earlier] is later. */
    public fun millisecondsSince(earlier: MonotonicTime): Long = milliseconds - earlier.milliseconds

    public companion object {
        /** A time earlier than any that the clock returns. */
        public val distantPast: MonotonicTime = MonotonicTime(Long.MIN_VALUE / 4)
    }
}

/** A clock that never goes back. */
public fun interface MonotonicClock {
    /** Returns the current time. */
    public fun now(): MonotonicTime

    public companion object {
        private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

        /** The monotonic clock of this machine. */
        public val system: MonotonicClock =
            MonotonicClock { MonotonicTime(System.nanoTime() / NANOSECONDS_PER_MILLISECOND) }
    }
}
