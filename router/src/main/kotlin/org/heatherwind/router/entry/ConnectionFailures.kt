package org.heatherwind.router.entry

import io.ktor.client.network.sockets.ConnectTimeoutException
import java.io.IOException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.net.UnknownHostException
import java.nio.channels.UnresolvedAddressException

/** Whether this failure occurred before a connection was established, so that no byte of the request was sent. */
internal val IOException.isConnectFailure: Boolean
    get() = this is ConnectException ||
        this is ConnectTimeoutException ||
        this is NoRouteToHostException ||
        this is UnknownHostException ||
        cause is UnresolvedAddressException
