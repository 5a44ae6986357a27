package org.heatherwind.standins.instances

import arrow.core.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.json.Json
import org.heatherwind.clients.instances.ListedInstance
import org.heatherwind.core.identity.InstanceId

/** Serves [instances] over HTTP, with endpoints for tests and demonstrations to change the list. */
public fun Route.instanceRoutes(instances: MemoryInstanceList) {
    get("/instances") {
        val listed = instances.read().getOrElse { emptyList() }
        call.respondText(Json.encodeToString(listed), ContentType.Application.Json)
    }
    post("/instances") {
        instances.put(Json.decodeFromString<ListedInstance>(call.receiveText()))
        call.respond(HttpStatusCode.NoContent)
    }
    delete("/instances/{name}") {
        instances.remove(InstanceId(call.parameters["name"].orEmpty()))
        call.respond(HttpStatusCode.NoContent)
    }
}
