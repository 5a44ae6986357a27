package org.heatherwind.core.identity

/** Tells the present moment. */
public fun interface WallClock {
    /** The present moment. */
    public fun now(): Timestamp

    public companion object {
        /** The clock of this machine. */
        public val system: WallClock = WallClock { Timestamp(System.currentTimeMillis()) }
    }
}
