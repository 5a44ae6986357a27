package org.heatherwind.operator.demonstration

import kotlinx.coroutines.delay
import org.heatherwind.core.result.ResultCode
import org.heatherwind.operator.client.CallerClient
import org.heatherwind.operator.client.CallerResult
import org.heatherwind.standins.targets.EngineAnswer
import kotlin.random.Random

/** One caller with one request, which it sends again to another router when it was cut off. */
internal class DemonstrationCaller(
    private val fleet: LocalFleet,
    private val client: CallerClient,
    private val tally: DemonstrationTally,
    private val index: Int,
    private val key: String,
    seed: Long,
) {
    private val random = Random(seed)

    suspend fun chat() {
        val prompt = "request $index: why did the glaze crawl at cone ${random.nextInt(CONES)}?"
        val expected = EngineAnswer.pieces(LocalPlatform.MODEL, prompt, ANSWER_TOKENS).joinToString("")
        val result = retrying { address ->
            client.chat(address, key, LocalPlatform.MODEL, prompt, ANSWER_TOKENS, idempotencyKey = "chat-$index")
        }
        when (result) {
            is CallerResult.Whole -> {
                tally.answered.incrementAndGet()
                tally.answeredTokens.addAndGet(result.tokens)
                if (result.text != expected) tally.wrong.incrementAndGet()
            }

            is CallerResult.Cut -> tally.cut.incrementAndGet()

            is CallerResult.Refused -> tally.refuse(result.code ?: ResultCode.ANSWER_INTERRUPTED)
        }
    }

    suspend fun order() {
        val body = """{"order":$index}"""
        val result = retrying { address -> client.order(address, key, LocalPlatform.ORDER_PATH, body, "order-$index") }
        when (result) {
            is CallerResult.Whole -> {
                tally.ordersAccepted.incrementAndGet()
                tally.answered.incrementAndGet()
            }

            is CallerResult.Cut -> tally.cut.incrementAndGet()

            is CallerResult.Refused -> {
                val code = result.code ?: ResultCode.ANSWER_INTERRUPTED
                if (code.isNotRun && code != ResultCode.REQUEST_IN_PROGRESS) tally.ordersNotRun += body
                tally.refuse(code)
            }
        }
    }

    private suspend fun retrying(call: suspend (address: String) -> CallerResult): CallerResult {
        var result: CallerResult = CallerResult.Refused(null)
        repeat(MAXIMUM_TRIES) { attempt ->
            if (attempt > 0) tally.retries.incrementAndGet()
            result = call(fleet.routers.random(random).callerAddress)
            if (!isWorthRetrying(result)) return result
            delay(RETRY_MILLISECONDS)
        }
        return result
    }

    private fun isWorthRetrying(result: CallerResult): Boolean = when (result) {
        is CallerResult.Whole -> false
        is CallerResult.Cut -> true
        is CallerResult.Refused -> result.code !in FINAL_CODES
    }

    private companion object {
        const val CONES = 14
        const val ANSWER_TOKENS = 64
        const val MAXIMUM_TRIES = 120
        const val RETRY_MILLISECONDS = 250L
        val FINAL_CODES = setOf(
            ResultCode.BUDGET_EXHAUSTED,
            ResultCode.ATTEMPT_OUTCOME_UNKNOWN,
        )
    }
}
