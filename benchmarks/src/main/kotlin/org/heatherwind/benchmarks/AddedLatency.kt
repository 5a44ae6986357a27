package org.heatherwind.benchmarks

import org.HdrHistogram.Histogram
import org.heatherwind.operator.client.CallerClient
import org.heatherwind.operator.demonstration.LocalFleet
import org.heatherwind.operator.demonstration.LocalPlatform
import org.heatherwind.standins.targets.EngineBehaviour

/** Measures the time to the first chunk of a response, alternating between a direct call and one through a router. */
internal class AddedLatency {
    private val direct = Histogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    private val routed = Histogram(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    suspend fun measure() = LocalFleet(LocalPlatform.start()).use { fleet ->
        repeat(ROUTERS) { fleet.startRouter("router-$it") }
        fleet.configure()
        fleet.platform.engines.forEach {
            it.behaviour =
                EngineBehaviour(firstTokenMilliseconds = 0, tokenMilliseconds = 0)
        }
        val key = fleet.createBudget("studio", tokens = 1_000_000_000)
        CallerClient().use { client ->
            repeat(WARM_UP_REQUESTS + REQUESTS) { index ->
                if (index == WARM_UP_REQUESTS) listOf(direct, routed).forEach { it.reset() }
                timeFirstChunk(client, fleet.platform.engineAddresses.random(), key, index, direct)
                timeFirstChunk(client, fleet.routers.random().callerAddress, key, index, routed)
            }
        }
        printPercentiles()
    }

    private suspend fun timeFirstChunk(
        client: CallerClient,
        address: String,
        key: String,
        index: Int,
        histogram: Histogram,
    ) {
        val startedAt = System.nanoTime()
        client.chat(address, key, LocalPlatform.MODEL, "request $index", RESPONSE_TOKENS) {
            histogram.recordValue((System.nanoTime() - startedAt) / NANOSECONDS_PER_MICROSECOND)
        }
    }

    private fun printPercentiles() {
        for (percentile in PERCENTILES) {
            val directTime = direct.getValueAtPercentile(percentile)
            val routedTime = routed.getValueAtPercentile(percentile)
            val ratio = "%.2f".format(routedTime.toDouble() / directTime)
            println(
                "first chunk, p$percentile: direct $directTime, " +
                    "through a router $routedTime microseconds, ratio $ratio",
            )
        }
    }

    private companion object {
        val PERCENTILES = listOf(50.0, 95.0, 99.0)
        const val ROUTERS = 3
        const val WARM_UP_REQUESTS = 1_500
        const val REQUESTS = 3_000
        const val RESPONSE_TOKENS = 16
        const val HIGHEST_MICROSECONDS = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
    }
}
