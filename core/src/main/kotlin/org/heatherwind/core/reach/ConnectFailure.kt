package org.heatherwind.core.reach

import org.heatherwind.core.identity.MonotonicTime

/** Why a connection was not established. */
public sealed interface ConnectFailure {
    /** The peer's host, or a device before it, has answered that there is no connection. */
    public data object Refused : ConnectFailure

    /**
     * Nothing was answered in time.
     *
     * @property startedAt when the connection was requested
     */
    public data class TimedOut(val startedAt: MonotonicTime) : ConnectFailure
}
