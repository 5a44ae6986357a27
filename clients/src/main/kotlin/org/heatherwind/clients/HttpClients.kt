package org.heatherwind.clients

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout

/** Makes the HTTP clients that all calls to the platform and to targets use. */
public object HttpClients {
    private const val MAXIMUM_CONNECTIONS = 4_096
    private const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L

    /** A client that keeps connections open and follows no redirects. */
    public fun create(): HttpClient = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MILLISECONDS }
        engine {
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            requestTimeout = 0
            endpoint.maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
        }
    }
}
