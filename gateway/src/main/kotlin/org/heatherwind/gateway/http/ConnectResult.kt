package org.heatherwind.gateway.http

import org.heatherwind.core.reach.ConnectFailure

/** The outcome of an attempt to connect. */
internal sealed interface ConnectResult {
    class Established(val connection: ClientConnection) : ConnectResult

    data class Failed(val failure: ConnectFailure) : ConnectResult
}
