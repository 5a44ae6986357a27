package org.heatherwind.core.identity

import kotlinx.serialization.Serializable

/** A moment in milliseconds since the epoch. Deadlines are kept as timestamps. */
@Serializable
@JvmInline
public value class Timestamp(public val epochMilliseconds: Long) : Comparable<Timestamp> {
    override fun compareTo(other: Timestamp): Int = epochMilliseconds.compareTo(other.epochMilliseconds)

    /** The moment [milliseconds] later. */
    public fun plusMilliseconds(milliseconds: Long): Timestamp = Timestamp(epochMilliseconds + milliseconds)

    /** Milliseconds from [earlier] to this moment, negative when [earlier] is later. */
    public fun millisecondsSince(earlier: Timestamp): Long = epochMilliseconds - earlier.epochMilliseconds
}
