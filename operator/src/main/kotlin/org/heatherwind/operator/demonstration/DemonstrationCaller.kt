package org.heatherwind.operator.demonstration

import kotlinx.coroutines.delay
import org.heatherwind.core.result.ResultCode
import org.heatherwind.operator.client.CallerClient
import org.heatherwind.operator.client.CallerResult
import org.heatherwind.standins.targets.EngineResponse
import kotlin.random.Random

/** One caller with one request, which it retries on a random router until it gets a final outcome. */
internal class DemonstrationCaller(
    private val fleet: LocalFleet,
    private val client: CallerClient,
    private val counters: DemonstrationCounters,
    private val index: Int,
    private val key: String,
    seed: Long,
) {
    private val random = Random(seed)

    suspend fun chat() {
        val prompt = "request $index: why did the glaze crawl at cone ${random.nextInt(PROMPT_VARIANTS)}?"
        val expected = EngineResponse.chunks(LocalPlatform.MODEL, prompt, RESPONSE_TOKENS).joinToString("")
        val result = withRetries { address ->
            client.chat(address, key, LocalPlatform.MODEL, prompt, RESPONSE_TOKENS, idempotencyKey = "chat-$index")
        }
        when (result) {
            is CallerResult.Complete -> {
                counters.answered.incrementAndGet()
                counters.answeredTokens.addAndGet(result.tokens)
                if (result.text != expected) counters.wrongResponses.incrementAndGet()
            }

            is CallerResult.Interrupted -> counters.interrupted.incrementAndGet()

            is CallerResult.Refused -> counters.recordRefusal(result.code ?: ResultCode.ANSWER_INTERRUPTED)
        }
    }

    suspend fun order() {
        val body = """{"order":$index}"""
        val result = withRetries { address ->
            client.callPlainService(address, key, LocalPlatform.ORDER_PATH, body, "order-$index")
        }
        when (result) {
            is CallerResult.Complete -> {
                counters.ordersAccepted.incrementAndGet()
                counters.answered.incrementAndGet()
            }

            is CallerResult.Interrupted -> counters.interrupted.incrementAndGet()

            is CallerResult.Refused -> {
                val code = result.code ?: ResultCode.ANSWER_INTERRUPTED
                if (code.isNotRun && code != ResultCode.REQUEST_IN_PROGRESS) counters.ordersNotRun += body
                counters.recordRefusal(code)
            }
        }
    }

    private suspend fun withRetries(call: suspend (address: String) -> CallerResult): CallerResult {
        var result: CallerResult = CallerResult.Refused(null)
        repeat(MAXIMUM_ATTEMPTS) { attempt ->
            if (attempt > 0) counters.retries.incrementAndGet()
            result = call(fleet.routers.random(random).callerAddress)
            if (!isRetryable(result)) return result
            delay(RETRY_DELAY_MILLISECONDS)
        }
        return result
    }

    private fun isRetryable(result: CallerResult): Boolean = when (result) {
        is CallerResult.Complete -> false
        is CallerResult.Interrupted -> true
        is CallerResult.Refused -> result.code !in FINAL_CODES
    }

    private companion object {
        const val PROMPT_VARIANTS = 14
        const val RESPONSE_TOKENS = 64
        const val MAXIMUM_ATTEMPTS = 120
        const val RETRY_DELAY_MILLISECONDS = 250L
        val FINAL_CODES = setOf(
            ResultCode.BUDGET_EXHAUSTED,
            ResultCode.ATTEMPT_OUTCOME_UNKNOWN,
        )
    }
}
