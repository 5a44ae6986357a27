package org.heatherwind.router.telemetry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.heatherwind.core.result.ResultCode
import java.io.ByteArrayOutputStream

/** The metrics of one router, in a registry of its own. */
public class RouterMetrics {
    private val registry = PrometheusRegistry()

    private val requests = Counter.builder().name("heatherwind_requests_total")
        .help("Requests by service and result code.").labelNames("service", "code").register(registry)
    private val tokens = Counter.builder().name("heatherwind_billed_tokens_total")
        .help("Tokens settled by service.").labelNames("service").register(registry)
    private val firstToken = Histogram.builder().name("heatherwind_first_token_seconds")
        .help("Time from arrival to the first piece of an answer.").labelNames("service").register(registry)
    private val retries = Counter.builder().name("heatherwind_retries_total")
        .help("Further tries on another target.").labelNames("service").register(registry)

    /** Counts a request of [service] that ended with [code]. */
    public fun countRequest(service: String, code: ResultCode) {
        requests.labelValues(service, code.number.toString()).inc()
    }

    /** Counts [count] billed tokens of [service]. */
    public fun countTokens(service: String, count: Long) {
        tokens.labelValues(service).inc(count.toDouble())
    }

    /** Notes the time to the first piece of an answer, in milliseconds. */
    public fun observeFirstToken(service: String, milliseconds: Long) {
        firstToken.labelValues(service).observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    /** Counts a retry on another target. */
    public fun countRetry(service: String) {
        retries.labelValues(service).inc()
    }

    /** Adds a gauge whose value is read from [value] when the metrics are collected. */
    public fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** All metrics in the text format of Prometheus. */
    public fun render(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
