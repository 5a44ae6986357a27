package org.heatherwind.standins.log

import arrow.core.Either
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.json.Json
import org.heatherwind.clients.log.AppendedMessage
import org.heatherwind.clients.log.LogFailure
import org.heatherwind.clients.log.LogPage
import org.heatherwind.clients.log.LogService
import org.heatherwind.clients.log.PageMessage
import org.heatherwind.clients.log.RecordMessage
import java.util.Base64

/** Serves [log] over the HTTP interface of the platform's log service. */
public fun Route.logRoutes(log: LogService) {
    post("/streams/{stream}/records") {
        val record = call.receive<ByteArray>()
        when (val appended = log.append(call.stream(), record)) {
            is Either.Left -> call.respondFailure(appended.value)
            is Either.Right -> call.respondJson(Json.encodeToString(AppendedMessage(appended.value)))
        }
    }
    get("/streams/{stream}/records") {
        val page = log.read(
            stream = call.stream(),
            from = call.number("from", default = 0),
            limit = call.number("limit", default = MAXIMUM_PAGE_RECORDS).coerceIn(1, MAXIMUM_PAGE_RECORDS).toInt(),
            waitMilliseconds = call.number("wait", default = 0).coerceIn(0, MAXIMUM_WAIT_MILLISECONDS),
        )
        when (page) {
            is Either.Left -> call.respondFailure(page.value)
            is Either.Right -> call.respondJson(Json.encodeToString(page.value.toMessage()))
        }
    }
}

private const val MAXIMUM_PAGE_RECORDS = 10_000L
private const val MAXIMUM_WAIT_MILLISECONDS = 30_000L

private fun ApplicationCall.stream(): String = parameters["stream"].orEmpty()

private fun ApplicationCall.number(name: String, default: Long): Long =
    request.queryParameters[name]?.toLongOrNull() ?: default

private fun LogPage.toMessage() = PageMessage(
    records = records.map { RecordMessage(it.offset, Base64.getEncoder().encodeToString(it.record)) },
    oldest = oldestOffset,
    end = endOffset,
)

private suspend fun ApplicationCall.respondJson(text: String) = respondText(text, ContentType.Application.Json)

private suspend fun ApplicationCall.respondFailure(failure: LogFailure) = when (failure) {
    is LogFailure.Unavailable -> respond(HttpStatusCode.ServiceUnavailable, failure.detail)

    is LogFailure.OffsetExpired -> respondText(
        text = Json.encodeToString(PageMessage(emptyList(), failure.oldest, failure.oldest)),
        contentType = ContentType.Application.Json,
        status = HttpStatusCode.Gone,
    )
}
