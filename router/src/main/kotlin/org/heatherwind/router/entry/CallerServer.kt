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

/** The callers' interface: chat completions, the list of models, and the paths of plain services. */
internal class CallerServer(
    private val context: EntryContext,
    private val chats: ChatHandler,
    private val plains: PlainHandler,
    private val isReady: () -> Boolean,
) {
    private val inProgress = AtomicInteger()

    /** Whether new requests are refused because the router stops. */
    @Volatile
    var isDraining: Boolean = false

    /** Requests that are not answered in full. */
    val requestsInProgress: Int get() = inProgress.get()

    fun routes(routing: Routing) {
        routing.get("/v1/models") { call.respondText(modelList(), ContentType.Application.Json) }
        routing.post("/v1/chat/completions") { admitted(call) { chats.handle(call) } }
        routing.post("/{path...}") { admitted(call) { plains.handle(call) } }
    }

    private suspend fun admitted(call: ApplicationCall, handle: suspend () -> Unit) {
        inProgress.incrementAndGet()
        try {
            when {
                isDraining -> EntryError.respond(call, ResultCode.ROUTER_DRAINING)
                !isReady() -> EntryError.respond(call, ResultCode.ROUTER_NOT_READY)
                else -> handle()
            }
        } finally {
            inProgress.decrementAndGet()
        }
    }

    private fun modelList(): String = buildJsonObject {
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
