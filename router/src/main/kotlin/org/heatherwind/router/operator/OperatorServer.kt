package org.heatherwind.router.operator

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Digest
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.result.ResultCode
import org.heatherwind.protocol.operations.BudgetMessage
import org.heatherwind.protocol.operations.BudgetReport
import org.heatherwind.protocol.operations.ConfigurationReport
import org.heatherwind.protocol.operations.PublishMessage
import org.heatherwind.protocol.operations.PublishReport
import org.heatherwind.protocol.operations.StatusReport
import org.heatherwind.protocol.operations.TopUpMessage
import org.heatherwind.router.entry.ErrorResponse
import org.heatherwind.router.entry.RequestIdentity
import org.heatherwind.router.entry.RequestTrace
import org.heatherwind.router.entry.RequestTraces
import java.security.MessageDigest

/** The HTTP routes for operators. All except health, readiness and metrics require the operator token. */
internal class OperatorServer(
    private val tokenDigest: Digest,
    private val budgets: BudgetOperations,
    private val configurations: ConfigurationOperations,
    private val traces: RequestTraces,
    private val status: () -> StatusReport,
    private val renderMetrics: () -> String,
    private val startDrain: () -> Unit,
) {
    fun registerRoutes(routing: Routing) {
        routing.get("/health") { call.respondText("live\n") }
        routing.get("/ready") { respondReady(call) }
        routing.get("/metrics") { call.respondText(renderMetrics(), ContentType.Text.Plain) }
        routing.get("/operator/status") {
            ifAuthorised(call) { respondJson(call, StatusReport.serializer(), status()) }
        }
        routing.post("/operator/drain") {
            ifAuthorised(call) {
                startDrain()
                call.respondText("draining\n")
            }
        }
        routing.get("/operator/requests") { ifAuthorised(call) { respondTrace(call) } }
        budgetRoutes(routing)
        configurationRoutes(routing)
    }

    private fun budgetRoutes(routing: Routing) {
        routing.post("/operator/budgets") {
            ifAuthorised(call) {
                receiveJson(call, BudgetMessage.serializer())?.let { call.respondApplied(budgets.create(it)) }
            }
        }
        routing.post("/operator/budgets/{budget}/top-up") {
            ifAuthorised(call) {
                receiveJson(call, TopUpMessage.serializer())?.let { respondTopUp(call, it) }
            }
        }
        routing.get("/operator/budgets/{budget}") {
            ifAuthorised(call) {
                val report = budgets.report(call.budget())
                if (report == null) {
                    call.respondText("no such budget\n", status = HttpStatusCode.NotFound)
                } else {
                    respondJson(call, BudgetReport.serializer(), report)
                }
            }
        }
    }

    private fun configurationRoutes(routing: Routing) {
        routing.get("/operator/configuration") {
            ifAuthorised(call) {
                respondJson(call, ConfigurationReport.serializer(), configurations.report())
            }
        }
        routing.post("/operator/configuration") {
            ifAuthorised(call) {
                receiveJson(call, PublishMessage.serializer())?.let {
                    val report = configurations.publish(it)
                    respondJson(call, PublishReport.serializer(), report)
                }
            }
        }
    }

    private suspend fun respondTopUp(call: ApplicationCall, message: TopUpMessage) {
        if (message.tokens <= 0) return ErrorResponse.respond(call, ResultCode.TOKEN_COUNT_OUT_OF_RANGE)
        call.respondApplied(budgets.topUp(call.budget(), message))
    }

    private suspend fun respondReady(call: ApplicationCall) {
        val isReady = status().isReady
        val code = if (isReady) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (isReady) "ready\n" else "not ready\n", status = code)
    }

    private suspend fun respondTrace(call: ApplicationCall) {
        val trace = traces.find(RequestKey(call.request.queryParameters["request"].orEmpty()))
        if (trace == null) {
            call.respondText("not known here\n", status = HttpStatusCode.NotFound)
        } else {
            respondJson(call, RequestTrace.serializer(), trace)
        }
    }

    private suspend fun ifAuthorised(call: ApplicationCall, handle: suspend () -> Unit) {
        val token = call.request.header(HttpHeaders.Authorization).orEmpty().removePrefix("Bearer ").trim()
        val digest = RequestIdentity.digestOf(token).hexadecimal
        val isAuthorised = MessageDigest.isEqual(digest.toByteArray(), tokenDigest.hexadecimal.toByteArray())
        if (isAuthorised) handle() else ErrorResponse.respond(call, ResultCode.OPERATION_NOT_AUTHORISED)
    }

    private suspend fun <T : Any> receiveJson(call: ApplicationCall, serializer: KSerializer<T>): T? = try {
        Json.decodeFromString(serializer, call.receiveText())
    } catch (_: SerializationException) {
        ErrorResponse.respond(call, ResultCode.MALFORMED_REQUEST)
        null
    }

    private suspend fun <T> respondJson(call: ApplicationCall, serializer: KSerializer<T>, value: T) =
        call.respondText(Json.encodeToString(serializer, value), ContentType.Application.Json)

    private suspend fun ApplicationCall.respondApplied(isApplied: Boolean) =
        if (isApplied) respondText("applied\n") else ErrorResponse.respond(this, ResultCode.LOG_UNAVAILABLE)

    private fun ApplicationCall.budget() = BudgetId(parameters["budget"].orEmpty())
}
