package org.heatherwind.operator.demonstration

import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import kotlinx.coroutines.runBlocking
import org.heatherwind.clients.HttpClients
import org.heatherwind.core.result.ResultCode
import org.heatherwind.operator.client.CallerClient
import org.heatherwind.operator.client.CallerResult
import org.heatherwind.standins.targets.EngineBehaviour
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Given a router, when callers send invalid requests, then each gets its result code and valid ones still succeed. */
class BadInputTest {
    private class Case(
        val name: String,
        val code: ResultCode,
        val body: String,
        val path: String = "/v1/chat/completions",
        val key: String? = "studio.demo-secret",
        val idempotencyKey: String? = null,
    )

    private val messages = """"messages":[{"role":"user","content":"hello"}]"""

    private val cases = listOf(
        Case("malformed JSON", ResultCode.MALFORMED_REQUEST, "{"),
        Case("not an object", ResultCode.MALFORMED_REQUEST, "[1]"),
        Case("no messages", ResultCode.MALFORMED_REQUEST, """{"model":"glaze-1"}"""),
        Case("a message that is not an object", ResultCode.MALFORMED_REQUEST, """{"model":"glaze-1","messages":[3]}"""),
        Case("unknown model", ResultCode.UNKNOWN_MODEL, """{"model":"none",$messages}"""),
        Case("unknown path", ResultCode.UNKNOWN_MODEL, "{}", path = "/nowhere"),
        Case(
            "negative tokens",
            ResultCode.TOKEN_COUNT_OUT_OF_RANGE,
            """{"model":"glaze-1","max_tokens":-5,$messages}""",
        ),
        Case(
            "overflowing tokens",
            ResultCode.TOKEN_COUNT_OUT_OF_RANGE,
            """{"model":"glaze-1","max_tokens":99999999999999999999,$messages}""",
        ),
        Case("no key", ResultCode.KEY_MISSING, """{"model":"glaze-1",$messages}""", key = null),
        Case(
            "a key that names no budget",
            ResultCode.KEY_NOT_ACCEPTED,
            """{"model":"glaze-1",$messages}""",
            key = "secret",
        ),
        Case(
            "a key with a wrong secret",
            ResultCode.KEY_NOT_ACCEPTED,
            """{"model":"glaze-1",$messages}""",
            key = "studio.wrong",
        ),
        Case("an oversized body", ResultCode.BODY_TOO_LARGE, "x".repeat(1_048_577)),
        Case("an order without an idempotency key", ResultCode.IDEMPOTENCY_KEY_MISSING, "{}", path = "/orders"),
        Case(
            "a request that the budget cannot cover",
            ResultCode.BUDGET_EXHAUSTED,
            """{"model":"glaze-1",$messages}""",
        ),
    )

    @Test
    fun `given invalid requests, when sent, then each gets its code and nothing is charged`() = runBlocking<Unit> {
        LocalFleet(LocalPlatform.start()).use { fleet ->
            val router = fleet.startRouter("router-1")
            fleet.configure()
            val key = fleet.createBudget("studio", tokens = 600)
            HttpClients.create().use { client ->
                cases.forEach { case ->
                    val response = client.post(router.callerAddress + case.path) {
                        case.key?.let { header("Authorization", "Bearer $it") }
                        setBody(case.body)
                    }
                    assertEquals(case.code.number.toString(), response.headers["Heatherwind-Code"], case.name)
                    assertEquals(case.code.httpStatus, response.status.value, case.name)
                }
            }
            assertEquals(0, fleet.operator().budget("studio").spent)
            val result = CallerClient().use { it.chat(router.callerAddress, key, LocalPlatform.MODEL, "hello", 16) }
            assertIs<CallerResult.Complete>(result)
        }
    }

    @Test
    fun `given a failed attempt, when other targets refuse, then the code is target failed`() = runBlocking<Unit> {
        LocalFleet(LocalPlatform.start()).use { fleet ->
            val router = fleet.startRouter("router-1")
            fleet.configure()
            val key = fleet.createBudget("studio", tokens = 600)
            fleet.platform.engines.forEachIndexed { index, engine ->
                engine.behaviour =
                    if (index == 0) EngineBehaviour(cutsAfterTokens = 0) else EngineBehaviour(refuses = true)
            }
            val result = CallerClient().use { it.chat(router.callerAddress, key, LocalPlatform.MODEL, "hello", 16) }
            assertEquals(1, fleet.platform.engines.first().runCount)
            assertEquals(CallerResult.Refused(ResultCode.TARGET_FAILED), result)
        }
    }

    @Test
    fun `given a reused key, when the body differs, then it is refused, else it is replayed`() = runBlocking<Unit> {
        LocalFleet(LocalPlatform.start()).use { fleet ->
            val router = fleet.startRouter("router-1")
            fleet.configure()
            val key = fleet.createBudget("studio", tokens = 600)
            CallerClient().use { client ->
                val orders = listOf("""{"frit":1}""", """{"frit":1}""", """{"frit":2}""")
                    .map { client.callPlainService(router.callerAddress, key, LocalPlatform.ORDER_PATH, it, "order-1") }
                assertEquals(orders[0], orders[1])
                assertEquals(CallerResult.Refused(ResultCode.IDEMPOTENCY_KEY_REUSED), orders[2])
            }
            assertEquals(mapOf("""{"frit":1}""" to 1), fleet.platform.orders.runCounts)
            assertEquals(LocalPlatform.ORDER_PRICE, fleet.operator().budget("studio").spent)
        }
    }
}
