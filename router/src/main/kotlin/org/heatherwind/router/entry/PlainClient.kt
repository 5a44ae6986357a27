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

/** What a call of a plain service came to. */
internal sealed interface PlainResult {
    /** The target answered. */
    data class Answered(val outcome: AttemptOutcome.Answered) : PlainResult

    /** No byte of the call left. */
    data object NotRun : PlainResult

    /** The call left, and no answer came. */
    data object Unknown : PlainResult
}

/** Calls plain services, each on a connection of its own, so that a refused connection proves that nothing ran. */
internal class PlainClient(private val client: HttpClient) {
    suspend fun call(
        target: TargetDefinition,
        path: String,
        request: RequestKey,
        body: String,
        milliseconds: Long,
    ): PlainResult = try {
        val response = client.post("${target.address}$path") {
            timeout { requestTimeoutMillis = maxOf(milliseconds, 1) }
            contentType(ContentType.Application.Json)
            header(HttpHeaders.Connection, "close")
            header(EntryError.REQUEST_HEADER, request.value)
            setBody(body)
        }
        PlainResult.Answered(AttemptOutcome.Answered(response.status.value, response.bodyAsText()))
    } catch (_: HttpRequestTimeoutException) {
        PlainResult.Unknown
    } catch (failure: IOException) {
        if (failure.isBeforeSending) PlainResult.NotRun else PlainResult.Unknown
    }
}
