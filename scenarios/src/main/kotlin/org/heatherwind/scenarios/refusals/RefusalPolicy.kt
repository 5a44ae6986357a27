package org.heatherwind.scenarios.refusals

/**
 * Result of running a trace under one policy.
 *
 * @property falselyRefused requests refused although the prepaid tokens less those used so far covered their worst case
 */
public data class RefusalResult(val requests: Int, val refused: Int, val falselyRefused: Int, val overspent: Long) {
    /** Fraction of all requests that were falsely refused. */
    public val falseShare: Double get() = falselyRefused.toDouble() / requests
}

/** A time span during which only [connectedSides] can reach the log and the single holder. */
public data class Partition(val fromMilliseconds: Long, val untilMilliseconds: Long, val connectedSides: Set<Int>) {
    /** Returns whether [side] is disconnected at [atMilliseconds]. */
    public fun isDisconnected(side: Int, atMilliseconds: Long): Boolean =
        atMilliseconds in fromMilliseconds until untilMilliseconds && side !in connectedSides
}

/** A policy that divides one budget among several sides. */
public sealed interface RefusalPolicy {
    /** Runs [trace] on a budget of [prepaid] tokens. */
    public fun run(trace: DemandTrace, prepaid: Long, sides: Int, partition: Partition?): RefusalResult

    /** First baseline: each side holds an equal share from the start. */
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

    /** Second baseline: a single holder has the whole budget, and every side reserves from it. */
    public data object SingleHolder : RefusalPolicy {
        override fun run(trace: DemandTrace, prepaid: Long, sides: Int, partition: Partition?): RefusalResult {
            var left = prepaid
            return replay(trace, prepaid) { request ->
                val isReached = partition?.isDisconnected(request.side, request.atMilliseconds) != true
                val isAdmitted = isReached && left >= request.worstTokens
                if (isAdmitted) left -= request.usedTokens
                isAdmitted
            }
        }
    }

    /** The production policy: shard owners obtain grants through the log. */
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
