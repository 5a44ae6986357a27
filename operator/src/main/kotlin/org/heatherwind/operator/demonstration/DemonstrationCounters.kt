package org.heatherwind.operator.demonstration

import org.heatherwind.core.result.ResultCode
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** What the callers of a demonstration counted. */
internal class DemonstrationTally {
    val answered = AtomicInteger()
    val cut = AtomicInteger()
    val wrong = AtomicInteger()
    val retries = AtomicInteger()
    val answeredTokens = AtomicLong()
    val ordersAccepted = AtomicInteger()

    /** Refusals that callers got as their last word, by code. */
    val refused = ConcurrentHashMap<ResultCode, AtomicInteger>()

    /** Bodies of orders whose last word was that they did not run. */
    val ordersNotRun: MutableSet<String> = ConcurrentHashMap.newKeySet()

    fun refuse(code: ResultCode) {
        refused.computeIfAbsent(code) { AtomicInteger() }.incrementAndGet()
    }
}
