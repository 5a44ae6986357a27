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

/** How a try on one engine began. */
internal sealed interface EngineStart {
    /** The engine streams an answer. */
    class Streaming(val stream: EngineStream) : EngineStart

    /** The engine did not run the request. */
    data object Refused : EngineStart

    /** The engine does not accept the request. */
    data object Rejected : EngineStart

    /** The engine failed after the request was sent. */
    data object Failed : EngineStart
}

/** Sends chat completions to engines. */
internal class EngineClient(private val client: HttpClient) {
    /** Sends [document] to [target] and hands the start of the answer to [use]. */
    suspend fun <T> stream(
        target: TargetDefinition,
        request: RequestKey,
        document: String,
        use: suspend (EngineStart) -> T,
    ): T {
        var hasBegun = false
        return try {
            val statement = client.preparePost("${target.address}/v1/chat/completions") {
                timeout { requestTimeoutMillis = Long.MAX_VALUE }
                contentType(ContentType.Application.Json)
                header(EntryError.REQUEST_HEADER, request.value)
                setBody(document)
            }
            statement.execute { response ->
                hasBegun = true
                use(startOf(response))
            }
        } catch (failure: IOException) {
            if (hasBegun) throw failure
            use(if (failure.isBeforeSending) EngineStart.Refused else EngineStart.Failed)
        }
    }

    private suspend fun startOf(response: HttpResponse): EngineStart = when {
        response.status == HttpStatusCode.ServiceUnavailable -> EngineStart.Refused
        response.status == HttpStatusCode.TooManyRequests -> EngineStart.Refused
        response.status.isSuccess() -> EngineStart.Streaming(EngineStream(response.bodyAsChannel()))
        response.status.value in CLIENT_ERRORS -> EngineStart.Rejected
        else -> EngineStart.Failed
    }

    private companion object {
        val CLIENT_ERRORS = 400..499
    }
}

/** The events of one engine's answer, in order. */
internal class EngineStream(private val channel: io.ktor.utils.io.ByteReadChannel) {
    /** The next event, or the reason why none came within [milliseconds]. */
    suspend fun next(milliseconds: Long): EngineRead = try {
        withTimeoutOrNull(milliseconds) { readEvent() } ?: EngineRead.Silent
    } catch (_: IOException) {
        EngineRead.Broken
    }

    private suspend fun readEvent(): EngineRead {
        while (true) {
            val line = channel.readLine() ?: return EngineRead.Broken
            EngineEvent.ofLine(line)?.let { return EngineRead.Event(it) }
        }
    }
}

/** What reading from an engine gave. */
internal sealed interface EngineRead {
    data class Event(val event: EngineEvent) : EngineRead

    /** Nothing came before the progress deadline. */
    data object Silent : EngineRead

    /** The connection ended before the answer did. */
    data object Broken : EngineRead
}

/** Milliseconds from [now] to this deadline, not below 0. */
internal fun Timestamp.millisecondsLeft(now: Timestamp): Long = millisecondsSince(now).coerceAtLeast(0)
