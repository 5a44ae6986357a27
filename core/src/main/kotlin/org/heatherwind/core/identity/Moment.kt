package org.heatherwind.core.identity

/**
 * A moment on the steady clock of this process, in milliseconds from an arbitrary origin. It never jumps, and is not
 * comparable between processes.
 */
@JvmInline
public value class Moment(public val milliseconds: Long) : Comparable<Moment> {
    override fun compareTo(other: Moment): Int = milliseconds.compareTo(other.milliseconds)

    /** The moment [count] milliseconds later. */
    public fun plusMilliseconds(count: Long): Moment = Moment(milliseconds + count)

    /** Milliseconds from [earlier] to this moment, negative when [earlier] is later. */
    public fun millisecondsSince(earlier: Moment): Long = milliseconds - earlier.milliseconds

    public companion object {
        /** A moment before every other. */
        public val distantPast: Moment = Moment(Long.MIN_VALUE / 4)
    }
}

/** Tells the present moment of the steady clock. */
public fun interface SteadyClock {
    /** The present moment. */
    public fun now(): Moment

    public companion object {
        private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

        /** The steady clock of this machine. */
        public val system: SteadyClock = SteadyClock { Moment(System.nanoTime() / NANOSECONDS_PER_MILLISECOND) }
    }
}
