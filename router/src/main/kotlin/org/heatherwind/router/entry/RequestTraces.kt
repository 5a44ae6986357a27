package org.heatherwind.router.entry

import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.result.ResultCode

/** One step of a request's way, in a sentence, at a moment in milliseconds since the epoch. */
@Serializable
public data class TraceStep(val at: Long, val sentence: String)

/** What a router knows of one request. [code] is its result code's number, or 0 while it runs. */
@Serializable
public data class RequestTrace(val request: String, val router: String, val code: Int, val steps: List<TraceStep>)

/** The traces of the last requests, so that the fleet can explain what it did. */
public class RequestTraces(private val router: String, private val capacity: Int = KEPT_TRACES) {
    private val traces = object : LinkedHashMap<RequestKey, RequestTrace>() {
        override fun removeEldestEntry(eldest: Map.Entry<RequestKey, RequestTrace>): Boolean = size > capacity
    }

    /** Adds a step to the trace of [request]. */
    @Synchronized
    public fun step(request: RequestKey, at: Timestamp, sentence: String) {
        val trace = traces[request] ?: RequestTrace(request.value, router, code = 0, steps = emptyList())
        traces[request] = trace.copy(steps = trace.steps + TraceStep(at.epochMilliseconds, sentence))
    }

    /** Notes how [request] ended. */
    @Synchronized
    public fun end(request: RequestKey, at: Timestamp, code: ResultCode) {
        step(request, at, "It ended with ${code.number} ${code.name}: ${code.sentence}")
        traces.computeIfPresent(request) { _, trace -> trace.copy(code = code.number) }
    }

    /** The trace of [request], or null when it is not known here or forgotten. */
    @Synchronized
    public fun of(request: RequestKey): RequestTrace? = traces[request]

    private companion object {
        const val KEPT_TRACES = 5_000
    }
}
