package org.heatherwind.core.identity

/** A clock for the time of day, which may be set forward or back. */
public fun interface WallClock {
    /** Returns the current time. */
    public fun now(): Timestamp

    public companion object {
        /** The wall clock of this machine. */
        public val system: WallClock = WallClock { Timestamp(System.currentTimeMillis()) }
    }
}
