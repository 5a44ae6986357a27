package org.heatherwind.operator.client

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.isSuccess
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.heatherwind.clients.HttpClients
import org.heatherwind.protocol.operations.BudgetMessage
import org.heatherwind.protocol.operations.BudgetReport
import org.heatherwind.protocol.operations.ConfigurationReport
import org.heatherwind.protocol.operations.PublishMessage
import org.heatherwind.protocol.operations.PublishReport
import org.heatherwind.protocol.operations.StatusReport
import org.heatherwind.protocol.operations.TopUpMessage
import org.heatherwind.router.entry.RequestTrace
import java.io.IOException

/** A router did not respond, or responded with an error status. */
public class RouterRequestException(message: String) : Exception(message)

/** Client of the operator API of the router at [address]. */
public class OperatorClient(private val address: String, private val token: String) {
    private val client = HttpClients.create()

    /** Returns the router's state. */
    public suspend fun status(): StatusReport = read(StatusReport.serializer()) {
        client.get("$address/operator/status", it)
    }

    /** Returns the configuration in force. */
    public suspend fun configuration(): ConfigurationReport =
        read(ConfigurationReport.serializer()) { client.get("$address/operator/configuration", it) }

    /** Publishes a configuration; a rejection is reported in the result. */
    public suspend fun publish(message: PublishMessage): PublishReport = read(PublishReport.serializer()) { authorise ->
        client.post("$address/operator/configuration") {
            authorise()
            setBody(Json.encodeToString(message))
        }
    }

    /** Creates a budget or adds a key to it. */
    public suspend fun createBudget(message: BudgetMessage) {
        execute { authorise ->
            client.post("$address/operator/budgets") {
                authorise()
                setBody(Json.encodeToString(message))
            }
        }
    }

    /** Adds tokens to [budget]. */
    public suspend fun topUp(budget: String, message: TopUpMessage) {
        execute { authorise ->
            client.post("$address/operator/budgets/$budget/top-up") {
                authorise()
                setBody(Json.encodeToString(message))
            }
        }
    }

    /** Returns the state of [budget]. */
    public suspend fun budget(budget: String): BudgetReport =
        read(BudgetReport.serializer()) { client.get("$address/operator/budgets/$budget", it) }

    /** Returns the router's trace of [request], or null if it has none or the call fails. */
    public suspend fun trace(request: String): RequestTrace? = try {
        read(RequestTrace.serializer()) { authorise ->
            client.get("$address/operator/requests") {
                authorise()
                parameter("request", request)
            }
        }
    } catch (_: RouterRequestException) {
        null
    }

    /** Starts the router's graceful shutdown. */
    public suspend fun drain() {
        execute { client.post("$address/operator/drain", it) }
    }

    private suspend fun <T> read(
        serializer: KSerializer<T>,
        call: suspend (HttpRequestBuilder.() -> Unit) -> HttpResponse,
    ): T = Json.decodeFromString(serializer, execute(call))

    private suspend fun execute(call: suspend (HttpRequestBuilder.() -> Unit) -> HttpResponse): String {
        val response = try {
            call { header(HttpHeaders.Authorization, "Bearer $token") }
        } catch (failure: IOException) {
            throw RouterRequestException("no response from the router at $address: ${failure.message}")
        }
        if (response.status.isSuccess()) return response.bodyAsText()
        throw RouterRequestException(
            "the router at $address responded with status ${response.status.value}: ${response.bodyAsText().trim()}",
        )
    }
}
