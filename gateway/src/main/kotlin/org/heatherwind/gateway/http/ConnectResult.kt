package org.heatherwind.gateway.http

import org.heatherwind.core.reach.ConnectFailure

/** The outcome of an attempt to connect. */
internal sealed interface ConnectResult {
    /** The [connection] was established after [milliseconds]. */
    class Established(val connection: ClientConnection, val milliseconds: Long) : ConnectResult

    data class Failed(val failure: ConnectFailure) : ConnectResult
}
