package org.heatherwind.router.entry

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.configuration.TargetDefinition
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.Timestamp
import java.io.IOException

/** How an engine responded to a chat completion. */
internal sealed interface EngineResponse {
    /** The engine streams a response. */
    class Streaming(val stream: EngineEventStream) : EngineResponse

    /** The engine did not run the request: it refused the connection or is overloaded. */
    data object Refused : EngineResponse

    /** The engine rejected the request as invalid. */
    data object Rejected : EngineResponse

    /** The engine failed after the request was sent. */
    data object Failed : EngineResponse
}

/** Sends chat completions to engines. */
internal class EngineClient(private val client: HttpClient) {
    /**
     * Sends [document] to [target] and passes the start of the response to [use]. Failures before the response become
     * an [EngineResponse]; an [IOException] from [use] is rethrown.
     */
    suspend fun <T> stream(
        target: TargetDefinition,
        request: RequestKey,
        document: String,
        use: suspend (EngineResponse) -> T,
    ): T {
        var hasResponse = false
        return try {
            val statement = client.preparePost("${target.address}/v1/chat/completions") {
                timeout { requestTimeoutMillis = Long.MAX_VALUE }
                contentType(ContentType.Application.Json)
                header(ErrorResponse.REQUEST_HEADER, request.value)
                setBody(document)
            }
            statement.execute { response ->
                hasResponse = true
                use(responseOf(response))
            }
        } catch (failure: IOException) {
            if (hasResponse) throw failure
            use(if (failure.isConnectFailure) EngineResponse.Refused else EngineResponse.Failed)
        }
    }

    private suspend fun responseOf(response: HttpResponse): EngineResponse = when {
        response.status == HttpStatusCode.ServiceUnavailable -> EngineResponse.Refused
        response.status == HttpStatusCode.TooManyRequests -> EngineResponse.Refused
        response.status.isSuccess() -> EngineResponse.Streaming(EngineEventStream(response.bodyAsChannel()))
        response.status.value in CLIENT_ERRORS -> EngineResponse.Rejected
        else -> EngineResponse.Failed
    }

    private companion object {
        val CLIENT_ERRORS = 400..499
    }
}

/** The events of one engine's response, in order. */
internal class EngineEventStream(private val channel: io.ktor.utils.io.ByteReadChannel) {
    /** Returns the next event, or the reason why none arrived within [timeoutMilliseconds]. */
    suspend fun next(timeoutMilliseconds: Long): EngineReadResult = try {
        withTimeoutOrNull(timeoutMilliseconds) { readEvent() } ?: EngineReadResult.TimedOut
    } catch (_: IOException) {
        EngineReadResult.Disconnected
    }

    private suspend fun readEvent(): EngineReadResult {
        while (true) {
            val line = channel.readLine() ?: return EngineReadResult.Disconnected
            EngineEvent.parseLine(line)?.let { return EngineReadResult.Event(it) }
        }
    }
}

/** The result of reading from an engine. */
internal sealed interface EngineReadResult {
    /** An event was read. */
    data class Event(val event: EngineEvent) : EngineReadResult

    /** No event arrived within the timeout. */
    data object TimedOut : EngineReadResult

    /** The connection ended before the response did. */
    data object Disconnected : EngineReadResult
}

/** Returns the milliseconds from [now] to this deadline, at least 0. */
internal fun Timestamp.remainingMilliseconds(now: Timestamp): Long = millisecondsSince(now).coerceAtLeast(0)
