package org.heatherwind.clients

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout

/** Creates the HTTP clients for calls to the platform, routers and targets. */
public object HttpClients {
    private const val MAXIMUM_CONNECTIONS = 4_096
    private const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L

    /** Creates a client that reuses connections, does not follow redirects and does not throw on error statuses. */
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
