package org.heatherwind.router.entry

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.heatherwind.core.result.ResultCode
import java.util.concurrent.atomic.AtomicInteger

/** The HTTP routes for callers: chat completions, the list of models, and the paths of plain services. */
internal class CallerServer(
    private val context: EntryContext,
    private val chatHandler: ChatHandler,
    private val plainHandler: PlainServiceHandler,
    private val isReady: () -> Boolean,
) {
    private val inProgress = AtomicInteger()

    /** Whether new requests are refused because the router is shutting down. */
    @Volatile
    var isDraining: Boolean = false

    /** The number of requests whose response is not complete. */
    val requestsInProgress: Int get() = inProgress.get()

    fun registerRoutes(routing: Routing) {
        routing.get("/v1/models") { call.respondText(modelListDocument(), ContentType.Application.Json) }
        routing.post("/v1/chat/completions") { admit(call) { chatHandler.handle(call) } }
        routing.post("/{path...}") { admit(call) { plainHandler.handle(call) } }
    }

    private suspend fun admit(call: ApplicationCall, handle: suspend () -> Unit) {
        inProgress.incrementAndGet()
        try {
            when {
                isDraining -> ErrorResponse.respond(call, ResultCode.ROUTER_DRAINING)
                !isReady() -> ErrorResponse.respond(call, ResultCode.ROUTER_NOT_READY)
                else -> handle()
            }
        } finally {
            inProgress.decrementAndGet()
        }
    }

    private fun modelListDocument(): String = buildJsonObject {
        put("object", "list")
        putJsonArray("data") {
            context.modelNames().forEach { name ->
                addJsonObject {
                    put("id", name)
                    put("object", "model")
                }
            }
        }
    }.toString()
}
