package org.heatherwind.operator.client

import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.heatherwind.clients.HttpClients
import org.heatherwind.core.result.ResultCode
import java.io.IOException

/** Outcome of a caller's request. */
public sealed interface CallerResult {
    /** A complete response with the [tokens] that it used. */
    public data class Complete(val text: String, val tokens: Long) : CallerResult

    /** A refusal or failure before any content; [code] is null if the response had no result code. */
    public data class Refused(val code: ResultCode?) : CallerResult

    /** The response ended early, after [text]; [code] is null if no error event was received. */
    public data class Interrupted(val text: String, val code: ResultCode?) : CallerResult
}

/** Client of the caller API of routers, as customers use it. */
public class CallerClient : AutoCloseable {
    private val client = HttpClients.create()

    /**
     * Sends a streaming chat completion of at most [maximumTokens] tokens. Calls [onFirstEvent] at the first event, and
     * [onEvent] after each event with content, before the next one is read.
     */
    public suspend fun chat(
        address: String,
        key: String,
        model: String,
        prompt: String,
        maximumTokens: Int,
        idempotencyKey: String? = null,
        onEvent: suspend () -> Unit = {},
        onFirstEvent: () -> Unit = {},
    ): CallerResult {
        val text = StringBuilder()
        return try {
            val statement = client.preparePost("$address/v1/chat/completions") {
                timeout { requestTimeoutMillis = Long.MAX_VALUE }
                header(HttpHeaders.Authorization, "Bearer $key")
                idempotencyKey?.let { header("Idempotency-Key", it) }
                contentType(ContentType.Application.Json)
                setBody(chatDocument(model, prompt, maximumTokens))
            }
            statement.execute { read(it, text, onEvent, onFirstEvent) }
        } catch (_: IOException) {
            if (text.isEmpty()) CallerResult.Refused(null) else CallerResult.Interrupted(text.toString(), null)
        }
    }

    /** Calls a plain service; the text of a [CallerResult.Complete] is the response body. */
    public suspend fun callPlainService(
        address: String,
        key: String,
        path: String,
        body: String,
        idempotencyKey: String,
    ): CallerResult = try {
        val response = client.post("$address$path") {
            timeout { requestTimeoutMillis = PLAIN_SERVICE_TIMEOUT_MILLISECONDS }
            header(HttpHeaders.Authorization, "Bearer $key")
            header("Idempotency-Key", idempotencyKey)
            contentType(ContentType.Application.Json)
            setBody(body)
        }
        if (response.status.isSuccess()) CallerResult.Complete(response.bodyAsText(), 0) else refusal(response)
    } catch (_: IOException) {
        CallerResult.Refused(null)
    }

    override fun close(): Unit = client.close()

    private suspend fun read(
        response: HttpResponse,
        text: StringBuilder,
        onEvent: suspend () -> Unit,
        onFirstEvent: () -> Unit,
    ): CallerResult {
        if (!response.status.isSuccess()) return refusal(response)
        val channel = response.bodyAsChannel()
        var tokens = 0L
        var isFirst = true
        while (true) {
            val line = channel.readLine() ?: return CallerResult.Interrupted(text.toString(), null)
            if (!line.startsWith(DATA_FIELD)) continue
            if (isFirst) onFirstEvent()
            isFirst = false
            val data = line.removePrefix(DATA_FIELD).trim()
            if (data == END_OF_STREAM) return CallerResult.Complete(text.toString(), tokens)
            val event = Json.parseToJsonElement(data) as JsonObject
            event["error"]?.let { return CallerResult.Interrupted(text.toString(), codeOf(it as JsonObject)) }
            text.append(contentOf(event))
            tokens = tokensOf(event) ?: tokens
            onEvent()
        }
    }

    private suspend fun refusal(response: HttpResponse) =
        CallerResult.Refused(response.headers["Heatherwind-Code"]?.toIntOrNull()?.let(ResultCode::ofNumber))

    private fun codeOf(error: JsonObject): ResultCode? =
        (error["code"] as? JsonPrimitive)?.longOrNull?.let { ResultCode.ofNumber(it.toInt()) }

    private fun contentOf(event: JsonObject): String {
        val choice = (event["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
        return ((choice?.get("delta") as? JsonObject)?.get("content") as? JsonPrimitive)?.contentOrNull.orEmpty()
    }

    private fun tokensOf(event: JsonObject): Long? {
        val usage = event["usage"] as? JsonObject ?: return null
        return usage.values.sumOf { (it as? JsonPrimitive)?.longOrNull ?: 0 }
    }

    private fun chatDocument(model: String, prompt: String, maximumTokens: Int) = buildJsonObject {
        put("model", model)
        put("stream", true)
        put("max_tokens", maximumTokens)
        putJsonArray("messages") {
            addJsonObject {
                put("role", "user")
                put("content", prompt)
            }
        }
    }.toString()

    private companion object {
        const val DATA_FIELD = "data:"
        const val END_OF_STREAM = "[DONE]"
        const val PLAIN_SERVICE_TIMEOUT_MILLISECONDS = 60_000L
    }
}
