package org.heatherwind.standins.targets

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.response.respondTextWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.post
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.io.Writer
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Behaviour that an engine stand-in simulates.
 *
 * @property firstTokenMilliseconds time before the first token
 * @property tokenMilliseconds time between tokens
 * @property cutsAfterTokens number of tokens after which the connection is closed; null streams the whole response
 * @property refuses whether every request is rejected with status 503 before it runs
 */
public data class EngineBehaviour(
    val firstTokenMilliseconds: Long = 2,
    val tokenMilliseconds: Long = 1,
    val cutsAfterTokens: Int? = null,
    val refuses: Boolean = false,
)

/** A model engine that streams chat completions and rejects requests beyond [maximumInFlight] with status 503. */
public class EngineStandIn(private val maximumInFlight: Int) {
    private val inFlight = AtomicInteger()
    private val runs = AtomicLong()
    private val peakInFlight = AtomicInteger()

    /** Behaviour to simulate. */
    @Volatile
    public var behaviour: EngineBehaviour = EngineBehaviour()

    /** Number of requests run so far. */
    public val runCount: Long get() = runs.get()

    /** Highest number of concurrent requests so far, including rejected ones. */
    public val highestInFlight: Int get() = peakInFlight.get()

    /** Adds the engine's HTTP interface to [route]. */
    public fun routes(route: Route) {
        route.post("/v1/chat/completions") { handle(call) }
    }

    private suspend fun handle(call: RoutingCall) {
        val concurrent = inFlight.incrementAndGet()
        peakInFlight.accumulateAndGet(concurrent, ::maxOf)
        try {
            if (concurrent > maximumInFlight || behaviour.refuses) {
                call.respondText("{}", ContentType.Application.Json, HttpStatusCode.ServiceUnavailable)
            } else {
                runs.incrementAndGet()
                stream(call, Json.parseToJsonElement(call.receiveText()).jsonObject)
            }
        } finally {
            inFlight.decrementAndGet()
        }
    }

    private suspend fun stream(call: RoutingCall, request: JsonObject) {
        val model = request.getValue("model").jsonPrimitive.content
        val prompt = request.getValue("messages").jsonArray
            .joinToString("\n") { it.jsonObject.getValue("content").jsonPrimitive.content }
        val chunks = EngineResponse.chunks(model, prompt, request["max_tokens"]?.jsonPrimitive?.int ?: Int.MAX_VALUE)
        delay(behaviour.firstTokenMilliseconds)
        call.respondTextWriter(ContentType.Text.EventStream) {
            chunks.forEachIndexed { index, token ->
                if (index == behaviour.cutsAfterTokens) error("the engine stand-in simulates an interrupted response")
                writeEvent(chunk(model, token, EngineResponse.promptTokens(prompt), index + 1))
                delay(behaviour.tokenMilliseconds)
            }
            writeEvent(lastChunk(model, EngineResponse.promptTokens(prompt), chunks.size))
            write("data: [DONE]\n\n")
        }
    }

    private fun Writer.writeEvent(event: JsonObject) {
        write("data: $event\n\n")
        flush()
    }

    private fun chunk(model: String, token: String, promptTokens: Int, completionTokens: Int) = buildJsonObject {
        put("object", "chat.completion.chunk")
        put("model", model)
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putJsonObject("delta") { put("content", token) }
            }
        }
        putUsage(promptTokens, completionTokens)
    }

    private fun lastChunk(model: String, promptTokens: Int, completionTokens: Int) = buildJsonObject {
        put("object", "chat.completion.chunk")
        put("model", model)
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putJsonObject("delta") {}
                put("finish_reason", "stop")
            }
        }
        putUsage(promptTokens, completionTokens)
    }

    private fun kotlinx.serialization.json.JsonObjectBuilder.putUsage(promptTokens: Int, completionTokens: Int) {
        putJsonObject("usage") {
            put("prompt_tokens", promptTokens)
            put("completion_tokens", completionTokens)
        }
    }
}
