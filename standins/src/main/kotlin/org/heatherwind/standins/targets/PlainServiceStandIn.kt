package org.heatherwind.standins.targets

import io.ktor.http.ContentType
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/** A plain service that runs orders and counts the runs of each body. */
public class PlainServiceStandIn {
    private val runs = ConcurrentHashMap<String, Int>()

    /** Time that a call takes, in milliseconds. */
    @Volatile
    public var callMilliseconds: Long = 2

    /** Whether it closes the connection after running, without an answer. */
    @Volatile
    public var losesAnswers: Boolean = false

    /** How often each body ran. */
    public val runCounts: Map<String, Int> get() = runs.toMap()

    /** Serves the service's [path]. */
    public fun routes(route: Route, path: String) {
        route.post(path) {
            val body = call.receiveText()
            val count = runs.merge(body, 1, Int::plus)
            delay(callMilliseconds)
            check(!losesAnswers) { "the plain service stand-in loses this answer" }
            call.respondText("""{"accepted":true,"run":$count}""", ContentType.Application.Json)
        }
    }
}
