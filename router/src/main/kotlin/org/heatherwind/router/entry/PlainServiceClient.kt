package org.heatherwind.router.entry

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpRequestTimeoutException
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import org.heatherwind.core.configuration.TargetDefinition
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.ledger.AttemptOutcome
import java.io.IOException

/** The result of a call of a plain service. */
internal sealed interface PlainCallResult {
    /** The target responded. */
    data class Responded(val outcome: AttemptOutcome.Answered) : PlainCallResult

    /** No byte of the call was sent. */
    data object NotRun : PlainCallResult

    /** The call may have been sent, but no response arrived; its outcome is unknown. */
    data object Unknown : PlainCallResult
}

/**
 * Calls plain services. Each call uses a connection of its own, so that a refused connection proves that the call did
 * not run.
 */
internal class PlainServiceClient(private val client: HttpClient) {
    /** Posts [body] to [path] of [target] and waits at most [timeoutMilliseconds] for the response. */
    suspend fun call(
        target: TargetDefinition,
        path: String,
        request: RequestKey,
        body: String,
        timeoutMilliseconds: Long,
    ): PlainCallResult = try {
        val response = client.post("${target.address}$path") {
            timeout { requestTimeoutMillis = maxOf(timeoutMilliseconds, 1) }
            contentType(ContentType.Application.Json)
            header(HttpHeaders.Connection, "close")
            header(ErrorResponse.REQUEST_HEADER, request.value)
            setBody(body)
        }
        PlainCallResult.Responded(AttemptOutcome.Answered(response.status.value, response.bodyAsText()))
    } catch (_: HttpRequestTimeoutException) {
        PlainCallResult.Unknown
    } catch (failure: IOException) {
        if (failure.isConnectFailure) PlainCallResult.NotRun else PlainCallResult.Unknown
    }
}
