package org.heatherwind.router.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.result.ResultCode

/** Error responses that carry a result code, and the headers of all responses. */
internal object ErrorResponse {
    const val CODE_HEADER = "Heatherwind-Code"
    const val REQUEST_HEADER = "Heatherwind-Request"

    /** Returns the JSON error document of [code]. */
    fun document(code: ResultCode, request: RequestKey?): String = buildJsonObject {
        putJsonObject("error") {
            put("code", code.number)
            put("type", code.name)
            put("message", code.sentence)
            put("not_run", code.isNotRun)
            request?.let { put("request", it.value) }
        }
    }.toString()

    /** Responds to [call] with the status, the headers and the error document of [code]. */
    suspend fun respond(call: ApplicationCall, code: ResultCode, request: RequestKey? = null) {
        call.response.header(CODE_HEADER, code.number.toString())
        request?.let { call.response.header(REQUEST_HEADER, it.value) }
        val status = HttpStatusCode.fromValue(code.httpStatus)
        call.respondText(document(code, request), ContentType.Application.Json, status)
    }
}
