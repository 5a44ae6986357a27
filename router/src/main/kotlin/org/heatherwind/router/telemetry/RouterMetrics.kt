package org.heatherwind.router.telemetry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.heatherwind.core.result.ResultCode
import java.io.ByteArrayOutputStream

/** The metrics of one router, in a separate registry, so that several routers can run in one process. */
public class RouterMetrics {
    private val registry = PrometheusRegistry()

    private val requests = Counter.builder().name("heatherwind_requests_total")
        .help("Requests by service and result code.").labelNames("service", "code").register(registry)
    private val chargedTokens = Counter.builder().name("heatherwind_billed_tokens_total")
        .help("Tokens settled by service.").labelNames("service").register(registry)
    private val timeToFirstChunk = Histogram.builder().name("heatherwind_first_token_seconds")
        .help("Time from arrival to the first piece of an answer.").labelNames("service").register(registry)
    private val retries = Counter.builder().name("heatherwind_retries_total")
        .help("Further tries on another target.").labelNames("service").register(registry)

    /** Counts a request of [service] that ended with [code]. */
    public fun countRequest(service: String, code: ResultCode) {
        requests.labelValues(service, code.number.toString()).inc()
    }

    /** Adds [count] charged tokens of [service]. */
    public fun countChargedTokens(service: String, count: Long) {
        chargedTokens.labelValues(service).inc(count.toDouble())
    }

    /** Records the time from the arrival of a request of [service] to the first chunk of its response. */
    public fun recordTimeToFirstChunk(service: String, milliseconds: Long) {
        timeToFirstChunk.labelValues(service).observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    /** Counts a retry of a request of [service] on another target. */
    public fun countRetry(service: String) {
        retries.labelValues(service).inc()
    }

    /** Registers a gauge whose value is read from [value] when the metrics are collected. */
    public fun registerGauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun render(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
