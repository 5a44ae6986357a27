package org.heatherwind.router.entry

import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.RequestKey
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.result.ResultCode

/** One processing step of a request: a sentence for operators, and its time in milliseconds since the epoch. */
@Serializable
public data class TraceStep(val at: Long, val sentence: String)

/** The steps of one request on one router. [code] is the number of its result code, or 0 while it runs. */
@Serializable
public data class RequestTrace(val request: String, val router: String, val code: Int, val steps: List<TraceStep>)

/** The traces of the most recent requests of one router, at most [capacity], for operators to inspect. */
public class RequestTraces(private val router: String, private val capacity: Int = DEFAULT_CAPACITY_TRACES) {
    private val traces = object : LinkedHashMap<RequestKey, RequestTrace>() {
        override fun removeEldestEntry(eldest: Map.Entry<RequestKey, RequestTrace>): Boolean = size > capacity
    }

    /** Adds a step to the trace of [request]. */
    @Synchronized
    public fun step(request: RequestKey, at: Timestamp, sentence: String) {
        val trace = traces[request] ?: RequestTrace(request.value, router, code = 0, steps = emptyList())
        traces[request] = trace.copy(steps = trace.steps + TraceStep(at.epochMilliseconds, sentence))
    }

    /** Records that [request] ended with [code]. */
    @Synchronized
    public fun end(request: RequestKey, at: Timestamp, code: ResultCode) {
        step(request, at, "It ended with ${code.number} ${code.name}: ${code.sentence}")
        traces.computeIfPresent(request) { _, trace -> trace.copy(code = code.number) }
    }

    /** Returns the trace of [request], or null when this router has none or has evicted it. */
    @Synchronized
    public fun find(request: RequestKey): RequestTrace? = traces[request]

    private companion object {
        const val DEFAULT_CAPACITY_TRACES = 5_000
    }
}
