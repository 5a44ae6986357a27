package org.heatherwind.gateway.telemetry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.heatherwind.core.result.ResultCode
import org.heatherwind.gateway.serve.ReceivedCounts
import org.heatherwind.gateway.serve.RequestStage
import java.io.ByteArrayOutputStream

/** The metrics of one router, in a separate registry. */
public class GatewayMetrics {
    private val registry = PrometheusRegistry()

    private val requests = Counter.builder().name("heatherwind_requests_total")
        .help("Requests by route and result code.").labelNames("route", "code").register(registry)
    private val sends = Counter.builder().name("heatherwind_sends_total")
        .help("Requests sent to targets, by service and whether first or repeated.")
        .labelNames("service", "send").register(registry)
    private val firstChunk = Histogram.builder().name("heatherwind_first_piece_seconds")
        .help("Time from arrival to the first piece of an answer.").labelNames("route")
        .classicOnly().register(registry)
    private val unanswered = Counter.builder().name("heatherwind_requests_unanswered_total")
        .help("Requests that ended without a whole answer although the caller stayed, by route and stage reached.")
        .labelNames("route", "reached").register(registry)
    private val requestsLostToCrashes = Counter.builder().name("heatherwind_requests_lost_to_crashes_total")
        .help("Requests whose target crashed before or soon after the answer had begun.").register(registry)
    private val rolloutAttempts = Counter.builder().name("heatherwind_rollout_attempts_total")
        .help("Requests sent to targets while a roll-out was under way, by service and version.")
        .labelNames("service", "version").register(registry)
    private val rolloutShare = Gauge.builder().name("heatherwind_rollout_share")
        .help("Share of a service's requests that this router sends to the version of a roll-out.")
        .labelNames("service").register(registry)
    private val receivedBytes = Counter.builder().name("heatherwind_target_received_bytes_total")
        .help("Bytes received from targets, with heads and framing, by service.")
        .labelNames("service").register(registry)
    private val receivedParts = Counter.builder().name("heatherwind_target_received_parts_total")
        .help("Parts of responses received from targets, by service.").labelNames("service").register(registry)
    private val forwardedEvents = Counter.builder().name("heatherwind_forwarded_events_total")
        .help("Events forwarded from targets to callers, by service.").labelNames("service").register(registry)
    private val closedTargets = Counter.builder().name("heatherwind_targets_closed_total")
        .help("Notices of targets that want no further requests, by service and cause (leaving, pause).")
        .labelNames("service", "cause").register(registry)
    private val invalidLoads = Counter.builder().name("heatherwind_target_loads_invalid_total")
        .help("Load reports of targets with figures that were ignored, by service.")
        .labelNames("service").register(registry)
    private val sendsElsewhere = Counter.builder().name("heatherwind_sends_elsewhere_total")
        .help("Requests sent to targets in another data centre, by service.")
        .labelNames("service").register(registry)
    private val refused = Counter.builder().name("heatherwind_admission_refused_total")
        .help("Requests refused before a send, by service and reason (lost, closed, waited).")
        .labelNames("service", "reason").register(registry)
    private val waits = Histogram.builder().name("heatherwind_admission_wait_seconds")
        .help("Time that requests waited at the router for a target, by service.").labelNames("service")
        .classicOnly().register(registry)
    private val relayedConnections = Counter.builder().name("heatherwind_relayed_connections_total")
        .help(
            "Connections to targets through other routers, by outcome (open, refused, unreached, declined, no answer).",
        )
        .labelNames("outcome").register(registry)
    private val tunnels = Counter.builder().name("heatherwind_tunnels_total")
        .help("Connections to targets that other routers asked for, by answer (open, refused, unreached, declined).")
        .labelNames("answer").register(registry)
    private val storeCalls = Counter.builder().name("heatherwind_store_calls_total")
        .help("Calls to the store, by purpose and outcome (done, conflict, failed).")
        .labelNames("purpose", "outcome").register(registry)
    private val storeBytes = Counter.builder().name("heatherwind_store_bytes_total")
        .help("Bytes of records sent to and read from the store, by purpose.").labelNames("purpose").register(registry)
    private val droppedLines = Counter.builder().name("heatherwind_log_lines_dropped_total")
        .help("Log lines dropped at the rate limit.").register(registry)

    /** Counts a connection to a target through another router, by its [outcome]. */
    public fun countRelayed(outcome: String): Unit = relayedConnections.labelValues(outcome).inc()

    /** Counts the [answer] to another router that asked for a connection to a target. */
    public fun countTunnel(answer: String): Unit = tunnels.labelValues(answer).inc()

    /** Counts a request of [route] that ended with [code]. */
    public fun countRequest(route: String, code: ResultCode) {
        requests.labelValues(route, code.number.toString()).inc()
    }

    /** Counts a request of [route] that reached [stage] and ended without a whole answer. */
    internal fun countUnanswered(route: String, stage: RequestStage) {
        unanswered.labelValues(route, stage.name.lowercase()).inc()
    }

    /** Counts a request sent to a target of [service]. */
    public fun countSend(service: String, isFirst: Boolean) {
        sends.labelValues(service, if (isFirst) "first" else "repeated").inc()
    }

    /** Counts a request sent to a target of [service] in another data centre than the router's. */
    public fun countSendElsewhere(service: String) {
        sendsElsewhere.labelValues(service).inc()
    }

    /** Records the time from the arrival of a request of [route] to the first chunk of its response. */
    public fun observeFirstChunk(route: String, milliseconds: Long) {
        firstChunk.labelValues(route).observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    /** Counts a request whose target crashed before or soon after the answer had begun. */
    public fun countRequestLostToCrash() {
        requestsLostToCrashes.inc()
    }

    /** Counts a request sent to a target of [service] with [version] during a roll-out. */
    public fun countRolloutAttempt(service: String, version: String) {
        rolloutAttempts.labelValues(service, version).inc()
    }

    /** Records the [share] of the requests of [service] that go to the version of its roll-out. */
    public fun recordRolloutShare(service: String, share: Double) {
        rolloutShare.labelValues(service).set(share)
    }

    /** Counts a notice of a target of [service] that wants no further requests for [cause]. */
    public fun countClosedTarget(service: String, cause: String) {
        closedTargets.labelValues(service, cause).inc()
    }

    /** Counts a load report of a target of [service] with figures that were ignored. */
    public fun countInvalidLoad(service: String) {
        invalidLoads.labelValues(service).inc()
    }

    /** Counts what an attempt on a target of [service] received, and the events that it forwarded. */
    internal fun countReceived(service: String, received: ReceivedCounts) {
        receivedBytes.labelValues(service).inc(received.bytes.toDouble())
        receivedParts.labelValues(service).inc(received.parts.toDouble())
        forwardedEvents.labelValues(service).inc(received.forwardedEvents.toDouble())
    }

    /** Counts a request to [service] that is refused before a send for [reason]. */
    internal fun countRefused(service: String, reason: String) {
        refused.labelValues(service, reason).inc()
    }

    /** Records that a request to [service] waited for a target. */
    internal fun observeWait(service: String, milliseconds: Long) {
        waits.labelValues(service).observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    /** Counts a call to the store for [purpose] that ended with [outcome] and carried [bytes] of records. */
    internal fun countStoreCall(purpose: String, outcome: String, bytes: Int) {
        storeCalls.labelValues(purpose, outcome).inc()
        storeBytes.labelValues(purpose).inc(bytes.toDouble())
    }

    /** Counts a log line that was dropped. */
    public fun countDroppedLine() {
        droppedLines.inc()
    }

    /** Registers a gauge that reads its value from [value] at each scrape. */
    public fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Registers a gauge by service that reads its values from [values] at each scrape. */
    public fun gaugeByService(name: String, help: String, values: () -> Map<String, Double>) {
        GaugeWithCallback.builder().name(name).help(help).labelNames("service")
            .callback { callback -> values().forEach { (service, value) -> callback.call(value, service) } }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun render(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
