package org.heatherwind.operator.load

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.HdrHistogram.ConcurrentHistogram
import org.heatherwind.operator.client.CallerClient
import org.heatherwind.operator.client.CallerResult
import java.util.concurrent.atomic.AtomicLong

/** An open-loop load: [requests] requests at a fixed rate, whether or not earlier ones have completed. */
public data class LoadPlan(
    val address: String,
    val key: String,
    val model: String,
    val requestsPerSecond: Int,
    val requests: Int,
)

/** Latencies, measured from the scheduled start of each request. */
public class LoadResult(
    private val firstEvent: ConcurrentHistogram,
    private val completeResponse: ConcurrentHistogram,
    /** Requests with a complete response. */
    public val completed: Long,
    /** Requests refused or interrupted. */
    public val failed: Long,
) {
    /** Formats the result as text, in milliseconds. */
    public fun toText(): String = "$completed completed, $failed failed\n" +
        "first event, milliseconds: ${percentilesAsText(firstEvent)}\n" +
        "complete response, milliseconds: ${percentilesAsText(completeResponse)}"

    /** Formats the result as JSON. */
    public fun toJson(): String = """{"completed":$completed,"failed":$failed,""" +
        """"firstPieceMilliseconds":${percentilesAsJson(firstEvent)},""" +
        """"wholeAnswerMilliseconds":${percentilesAsJson(completeResponse)}}"""

    private fun percentilesAsText(histogram: ConcurrentHistogram) =
        PERCENTILES.joinToString { "p$it ${histogram.getValueAtPercentile(it) / MICROSECONDS_PER_MILLISECOND}" }

    private fun percentilesAsJson(histogram: ConcurrentHistogram) = PERCENTILES.joinToString(",", "{", "}") {
        "\"p$it\":${histogram.getValueAtPercentile(it) / MICROSECONDS_PER_MILLISECOND}"
    }

    private companion object {
        val PERCENTILES = listOf(50.0, 95.0, 99.0)
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
    }
}

/** Sends the chat completions of [plan] and measures their latencies. */
public class LoadGenerator(private val plan: LoadPlan) {
    private val firstEvent = ConcurrentHistogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    private val completeResponse = ConcurrentHistogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    private val completed = AtomicLong()
    private val failed = AtomicLong()

    /** Sends the load and waits until all requests have ended. */
    public suspend fun run(): LoadResult = CallerClient().use { client ->
        withContext(Dispatchers.Default) { sendAll(client) }
        LoadResult(firstEvent, completeResponse, completed.get(), failed.get())
    }

    private suspend fun sendAll(client: CallerClient) = coroutineScope {
        val startedAt = System.nanoTime()
        repeat(plan.requests) { index ->
            val dueAt = startedAt + index * NANOSECONDS_PER_SECOND / plan.requestsPerSecond
            val remainingMilliseconds = (dueAt - System.nanoTime()) / NANOSECONDS_PER_MILLISECOND
            if (remainingMilliseconds > 0) delay(remainingMilliseconds)
            launch { send(client, index, dueAt) }
        }
    }

    private suspend fun send(client: CallerClient, index: Int, dueAt: Long) {
        val result = client.chat(plan.address, plan.key, plan.model, "load request $index", RESPONSE_TOKENS) {
            firstEvent.record(dueAt)
        }
        when (result) {
            is CallerResult.Complete -> {
                completed.incrementAndGet()
                completeResponse.record(dueAt)
            }

            is CallerResult.Refused, is CallerResult.Interrupted -> failed.incrementAndGet()
        }
    }

    private fun ConcurrentHistogram.record(dueAt: Long) {
        val microseconds = (System.nanoTime() - dueAt) / NANOSECONDS_PER_MICROSECOND
        recordValue(microseconds.coerceIn(0, MAXIMUM_LATENCY_MICROSECONDS))
    }

    private companion object {
        const val MAXIMUM_LATENCY_MICROSECONDS = 600_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
        const val RESPONSE_TOKENS = 64
    }
}
