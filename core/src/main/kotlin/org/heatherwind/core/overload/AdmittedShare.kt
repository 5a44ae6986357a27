package org.heatherwind.core.overload

/**
 * The share of its callers' requests that a router serves itself; the others are refused. It falls in proportion to the
 * pressure while the router is overloaded, and rises steadily otherwise. Confined to one thread.
 */
public class AdmittedShare {
    /** The share, from [MINIMUM] to 1. */
    public var value: Double = 1.0
        private set

    /** Adjusts the share to the [window] that has ended. */
    public fun adjust(window: WindowDelay) {
        val pressure = window.pressure
        when {
            pressure > 1 -> value = maxOf(MINIMUM, value * maxOf(LARGEST_STEP, 1 - DECREASE * pressure))
            pressure < RELIEF -> value = minOf(1.0, value + INCREASE)
        }
    }

    /** Returns whether a request is served, given a number [drawn] evenly from 0 to 1. */
    public fun admits(drawn: Double): Boolean = drawn < value

    public companion object {
        /** Enough to notice when the overload ends. */
        public const val MINIMUM: Double = 0.2

        /** Streams in progress keep the link busy for seconds, so larger steps would overshoot. */
        private const val LARGEST_STEP = 0.5
        private const val DECREASE = 0.15
        private const val INCREASE = 0.02

        /** The share rises only below this pressure, so that it settles. */
        private const val RELIEF = 0.25
    }
}
