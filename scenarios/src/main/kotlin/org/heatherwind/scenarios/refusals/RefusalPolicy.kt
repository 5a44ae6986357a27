package org.heatherwind.scenarios.refusals

/**
 * What a run over a trace came to.
 *
 * @property falselyRefused refused although the unspent tokens, by true usage, covered the request
 */
public data class RefusalResult(val requests: Int, val refused: Int, val falselyRefused: Int, val overspent: Long) {
    /** Share of all requests that were falsely refused. */
    public val falseShare: Double get() = falselyRefused.toDouble() / requests
}

/** When the sides cannot reach each other, and which of them reaches the log and the one holder. */
public data class Partition(val fromMilliseconds: Long, val untilMilliseconds: Long, val connectedSides: Set<Int>) {
    /** Whether [side] is cut off at [atMilliseconds]. */
    public fun isCutOff(side: Int, atMilliseconds: Long): Boolean =
        atMilliseconds in fromMilliseconds until untilMilliseconds && side !in connectedSides
}

/** A way to divide one budget among sides. */
public sealed interface RefusalPolicy {
    /** Runs [trace] on a budget of [prepaid] tokens. */
    public fun run(trace: DemandTrace, prepaid: Long, sides: Int, partition: Partition?): RefusalResult

    /** Each side holds an equal share from the start: the first baseline. */
    public data object StaticShares : RefusalPolicy {
        override fun run(trace: DemandTrace, prepaid: Long, sides: Int, partition: Partition?): RefusalResult {
            val left = LongArray(sides) { prepaid / sides }
            return replay(trace, prepaid) { request ->
                val isAdmitted = left[request.side] >= request.worstTokens
                if (isAdmitted) left[request.side] -= request.usedTokens
                isAdmitted
            }
        }
    }

    /** One side holds the whole budget, and the others ask it: the second baseline. */
    public data object OneHolder : RefusalPolicy {
        override fun run(trace: DemandTrace, prepaid: Long, sides: Int, partition: Partition?): RefusalResult {
            var left = prepaid
            return replay(trace, prepaid) { request ->
                val isReached = partition?.isCutOff(request.side, request.atMilliseconds) != true
                val isAdmitted = isReached && left >= request.worstTokens
                if (isAdmitted) left -= request.usedTokens
                isAdmitted
            }
        }
    }

    /** Grants from the log, as the homes decide. */
    public data object Escrow : RefusalPolicy {
        override fun run(trace: DemandTrace, prepaid: Long, sides: Int, partition: Partition?): RefusalResult =
            EscrowRun(trace, prepaid, sides, partition).run()
    }
}

private fun replay(trace: DemandTrace, prepaid: Long, admit: (TracedRequest) -> Boolean): RefusalResult {
    var used = 0L
    var refused = 0
    var falselyRefused = 0
    for (request in trace.requests) {
        if (admit(request)) {
            used += request.usedTokens
        } else {
            refused++
            if (prepaid - used >= request.worstTokens) falselyRefused++
        }
    }
    return RefusalResult(trace.requests.size, refused, falselyRefused, overspent = maxOf(used - prepaid, 0))
}
