package org.heatherwind.core.identity

/**
 * A moment on the steady clock of this process, in milliseconds from an arbitrary origin. It never jumps, and is not
 * comparable between processes.
 */
@JvmInline
public value class MonotonicTime(public val milliseconds: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime): Int = milliseconds.compareTo(other.milliseconds)

    /** The moment [count] milliseconds later. */
    public fun plusMilliseconds(count: Long): MonotonicTime = MonotonicTime(milliseconds + count)

    /** Milliseconds from [earlier] to this moment, negative when [earlier] is later. */
    public fun millisecondsSince(earlier: MonotonicTime): Long = milliseconds - earlier.milliseconds

    public companion object {
        /** A moment before every other. */
        public val distantPast: MonotonicTime = MonotonicTime(Long.MIN_VALUE / 4)
    }
}

/** Tells the present moment of the steady clock. */
public fun interface MonotonicClock {
    /** The present moment. */
    public fun now(): MonotonicTime

    public companion object {
        private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

        /** The steady clock of this machine. */
        public val system: MonotonicClock =
            MonotonicClock { MonotonicTime(System.nanoTime() / NANOSECONDS_PER_MILLISECOND) }
    }
}
