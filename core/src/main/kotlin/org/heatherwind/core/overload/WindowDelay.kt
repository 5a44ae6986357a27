package org.heatherwind.core.overload

/**
 * The shortest delays of one window.
 *
 * @property processorMilliseconds delay of tasks of the event loop, or null if too few were measured
 * @property linkMilliseconds time to connect to a target beyond the shortest known, or null if too few were measured
 */
public data class WindowDelay(val processorMilliseconds: Long?, val linkMilliseconds: Long?) {
    /** The longer delay as a multiple of what requests may wait for this router; it is overloaded above 1. */
    public val pressure: Double
        get() = maxOf(
            (processorMilliseconds ?: 0) / MAXIMUM_PROCESSOR_MILLISECONDS,
            (linkMilliseconds ?: 0) / MAXIMUM_LINK_MILLISECONDS,
        )

    /** Whether requests wait for this router's processor or link throughout the window. */
    public val isOverloaded: Boolean get() = pressure > 1

    private companion object {
        /** A request passes through the event loop several times before its first event arrives. */
        const val MAXIMUM_PROCESSOR_MILLISECONDS = 15.0

        /** A request crosses the link four times, with its answer; many times the distance between data centres. */
        const val MAXIMUM_LINK_MILLISECONDS = 30.0
    }
}
