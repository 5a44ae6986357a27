package org.heatherwind.standins.targets

import io.ktor.http.ContentType
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/** A plain HTTP service that counts how often each request body was processed. */
public class PlainServiceStandIn {
    private val runs = ConcurrentHashMap<String, Int>()

    /** Processing time of a request. */
    @Volatile
    public var processingMilliseconds: Long = 2

    /** Whether the service closes the connection without a response after it has processed a request. */
    @Volatile
    public var losesResponses: Boolean = false

    /** Number of runs of each request body. */
    public val runCounts: Map<String, Int> get() = runs.toMap()

    /** Adds the service's [path] to [route]. */
    public fun routes(route: Route, path: String) {
        route.post(path) {
            val body = call.receiveText()
            val count = runs.merge(body, 1, Int::plus)
            delay(processingMilliseconds)
            check(!losesResponses) { "the plain service stand-in simulates a lost response" }
            call.respondText("""{"accepted":true,"run":$count}""", ContentType.Application.Json)
        }
    }
}
