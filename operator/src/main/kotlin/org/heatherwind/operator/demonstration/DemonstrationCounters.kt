package org.heatherwind.operator.demonstration

import org.heatherwind.core.result.ResultCode
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Counters shared by the callers of a demonstration. */
internal class DemonstrationCounters {
    val answered = AtomicInteger()
    val interrupted = AtomicInteger()
    val wrongResponses = AtomicInteger()
    val retries = AtomicInteger()
    val answeredTokens = AtomicLong()
    val ordersAccepted = AtomicInteger()

    /** Requests whose final outcome was a refusal, by code. */
    val refused = ConcurrentHashMap<ResultCode, AtomicInteger>()

    /** Bodies of orders whose final outcome was that they were not executed. */
    val ordersNotRun: MutableSet<String> = ConcurrentHashMap.newKeySet()

    fun recordRefusal(code: ResultCode) {
        refused.computeIfAbsent(code) { AtomicInteger() }.incrementAndGet()
    }
}
