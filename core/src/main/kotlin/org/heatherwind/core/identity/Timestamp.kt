package org.heatherwind.core.identity

import kotlinx.serialization.Serializable

/** A wall-clock time in milliseconds since the Unix epoch. Deadlines are stored as timestamps. */
@Serializable
@JvmInline
public value class Timestamp(public val epochMilliseconds: Long) : Comparable<Timestamp> {
    override fun compareTo(other: Timestamp): Int = epochMilliseconds.compareTo(other.epochMilliseconds)

    /** Returns the time [milliseconds] later. */
    public fun plusMilliseconds(milliseconds: Long): Timestamp = Timestamp(epochMilliseconds + milliseconds)

    /** Returns the milliseconds from [earlier] to this time, which are negative if [earlier] is later. */
    public fun millisecondsSince(earlier: Timestamp): Long = epochMilliseconds - earlier.epochMilliseconds
}
