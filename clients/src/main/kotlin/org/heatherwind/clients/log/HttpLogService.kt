package org.heatherwind.clients.log

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json
import java.util.Base64

/** HTTP client of the log service at [baseAddress]. */
public class HttpLogService(private val client: HttpClient, private val baseAddress: String) : LogService {
    override suspend fun append(stream: String, record: ByteArray): Either<LogFailure, Long> = catchingFailures {
        val response = client.post("$baseAddress/streams/$stream/records") {
            timeout { requestTimeoutMillis = APPEND_TIMEOUT_MILLISECONDS }
            contentType(ContentType.Application.OctetStream)
            setBody(record)
        }
        if (!response.status.isSuccess()) return@catchingFailures unavailable(response)
        Json.decodeFromString<AppendedMessage>(response.bodyAsText()).offset.right()
    }

    override suspend fun read(
        stream: String,
        from: Long,
        limit: Int,
        waitMilliseconds: Long,
    ): Either<LogFailure, LogPage> = catchingFailures {
        val response = client.get("$baseAddress/streams/$stream/records") {
            timeout { requestTimeoutMillis = waitMilliseconds + READ_TIMEOUT_MILLISECONDS }
            parameter("from", from)
            parameter("limit", limit)
            parameter("wait", waitMilliseconds)
        }
        when {
            response.status == HttpStatusCode.Gone ->
                LogFailure.OffsetExpired(Json.decodeFromString<PageMessage>(response.bodyAsText()).oldest).left()

            !response.status.isSuccess() -> unavailable(response)

            else -> Json.decodeFromString<PageMessage>(response.bodyAsText()).toPage().right()
        }
    }

    private fun unavailable(response: HttpResponse) = LogFailure.Unavailable("status ${response.status.value}").left()

    private fun PageMessage.toPage() = LogPage(
        records = records.map { LogEntry(it.offset, Base64.getDecoder().decode(it.data)) },
        oldestOffset = oldest,
        endOffset = end,
    )

    @Suppress("TooGenericExceptionCaught")
    private suspend fun <T> catchingFailures(call: suspend () -> Either<LogFailure, T>): Either<LogFailure, T> = try {
        call()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        LogFailure.Unavailable(failure.message ?: failure.javaClass.simpleName).left()
    }

    private companion object {
        const val APPEND_TIMEOUT_MILLISECONDS = 2_000L
        const val READ_TIMEOUT_MILLISECONDS = 2_000L
    }
}
