package org.heatherwind.scenarios.refusals

/**
 * Result of running a trace under one policy.
 *
 * @property falselyRefused requests refused although the prepaid tokens less those used so far covered their worst case
 */
public data class RefusalResult(val requests: Int, val refused: Int, val falselyRefused: Int, val overspent: Long) {
    /** Fraction of all requests that were refused falsely. */
    public val falseRefusalFraction: Double get() = falselyRefused.toDouble() / requests
}

/** A time span during which only [connectedRouters] can reach the log (escrow) and the single holder. */
public data class Partition(val fromMilliseconds: Long, val untilMilliseconds: Long, val connectedRouters: Set<Int>) {
    /** Returns whether [router] is disconnected at [atMilliseconds]. */
    public fun isDisconnected(router: Int, atMilliseconds: Long): Boolean =
        atMilliseconds in fromMilliseconds until untilMilliseconds && router !in connectedRouters
}

/** A policy that divides one budget among several routers. */
public sealed interface RefusalPolicy {
    /** Runs [trace] on a budget of [prepaid] tokens. */
    public fun run(trace: DemandTrace, prepaid: Long, routerCount: Int, partition: Partition?): RefusalResult

    /** First baseline: each router holds an equal share of the budget from the start. */
    public data object StaticShares : RefusalPolicy {
        override fun run(trace: DemandTrace, prepaid: Long, routerCount: Int, partition: Partition?): RefusalResult {
            val remainingTokens = LongArray(routerCount) { prepaid / routerCount }
            return replay(trace, prepaid) { request ->
                val isAdmitted = remainingTokens[request.router] >= request.worstCaseTokens
                if (isAdmitted) remainingTokens[request.router] -= request.usedTokens
                isAdmitted
            }
        }
    }

    /** Second baseline: a single holder holds the whole budget, and every router reserves from it. */
    public data object SingleHolder : RefusalPolicy {
        override fun run(trace: DemandTrace, prepaid: Long, routerCount: Int, partition: Partition?): RefusalResult {
            var remainingTokens = prepaid
            return replay(trace, prepaid) { request ->
                val isHolderReachable = partition?.isDisconnected(request.router, request.atMilliseconds) != true
                val isAdmitted = isHolderReachable && remainingTokens >= request.worstCaseTokens
                if (isAdmitted) remainingTokens -= request.usedTokens
                isAdmitted
            }
        }
    }

    /** The production policy: shard owners obtain grants through the log. */
    public data object Escrow : RefusalPolicy {
        override fun run(trace: DemandTrace, prepaid: Long, routerCount: Int, partition: Partition?): RefusalResult =
            EscrowRun(trace, prepaid, routerCount, partition).run()
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
            if (prepaid - used >= request.worstCaseTokens) falselyRefused++
        }
    }
    return RefusalResult(trace.requests.size, refused, falselyRefused, overspent = maxOf(used - prepaid, 0))
}
