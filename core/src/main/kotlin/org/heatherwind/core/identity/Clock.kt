package org.heatherwind.core.identity

/** Tells the present moment. */
public fun interface Clock {
    /** The present moment. */
    public fun now(): Timestamp

    public companion object {
        /** The clock of this machine. */
        public val system: Clock = Clock { Timestamp(System.currentTimeMillis()) }
    }
}
