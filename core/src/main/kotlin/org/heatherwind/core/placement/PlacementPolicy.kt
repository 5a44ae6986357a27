package org.heatherwind.core.placement

import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.core.work.TokenDemand

/**
 * The target chosen for a request, with the predictions that led to the choice.
 *
 * @property uncachedTokens prompt tokens that are probably not in the target's prefix cache
 * @property prefillMilliseconds predicted prefill time of these tokens
 * @property expectedMilliseconds time to the first event that is expected of a target of usual speed
 * @property predictedMilliseconds predicted time to the first event at the target's present speed
 */
public class Placement(
    public val target: TargetLoad,
    public val uncachedTokens: Long,
    public val prefillMilliseconds: Double,
    public val expectedMilliseconds: Double,
    public val predictedMilliseconds: Double = expectedMilliseconds,
) {
    public companion object {
        /**
         * Returns [introduced], the placement at a target of a version that is being introduced, if there is one and
         * the target has not just rejected a request for overload at [now]; otherwise the [established] one, if any.
         */
        public fun introducedOrElse(
            introduced: Placement?,
            now: MonotonicTime,
            established: () -> Placement?,
        ): Placement? {
            val isFull = introduced != null && now < introduced.target.health.overloadedUntil
            return if (introduced == null || isFull) established() ?: introduced else introduced
        }
    }
}

/** Chooses the target of a request from this router's view of the targets. */
public object PlacementPolicy {
    /**
     * Returns the target with the lowest cost, which is mainly the expected time to the first event, or null if no
     * target can take the request. Suspected targets, and those held back for their pace, are chosen only if there are
     * no others, or, for the pace, if the others have all slots in use.
     *
     * @param engine the service's engine, or null for a plain service
     * @param tokens the size of a generation, or null for a plain call
     * @param excluded targets to which the request was sent before
     * @param connectionsPerTarget limit on this router's in-flight requests on one target
     * @param isSharedCacheAssumed whether the target that all routers prefer for shared prompt parts is assumed to
     *   have them cached, which does not hold for targets that only a share of the requests reaches
     * @param aims what the choice should keep to where it can
     */
    public fun choose(
        candidates: List<TargetLoad>,
        engine: EngineProfile?,
        tokens: TokenDemand?,
        excluded: Set<TargetId>,
        connectionsPerTarget: Int,
        now: MonotonicTime,
        isSharedCacheAssumed: Boolean = true,
        aims: PlacementAims = PlacementAims(),
    ): Placement? {
        val available = candidates.filter {
            it.isOpen(now) && it.entry.id !in excluded && it.inFlightRequests < connectionsPerTarget
        }
        val unsuspected = available.filterNot { it.health.isSuspected(now) }.ifEmpty { available }
        val unpaced = unsuspected.filterNot { it.isHeldBack(now) }
        val eligible = if (unpaced.all { it.isFull(now) }) unsuspected else unpaced
        if (eligible.isEmpty()) return null
        return if (engine != null && tokens != null) {
            chooseForGeneration(eligible, engine, tokens, now, isSharedCacheAssumed, aims)
        } else {
            chooseForPlainCall(eligible, now, aims)
        }
    }

    private fun chooseForGeneration(
        candidates: List<TargetLoad>,
        engine: EngineProfile,
        tokens: TokenDemand,
        now: MonotonicTime,
        isSharedCacheAssumed: Boolean,
        aims: PlacementAims,
    ): Placement? {
        // All routers prefer the same target for shared prompt parts, so it is assumed to have them cached.
        val preferred = tokens.sharedParts.lastOrNull()?.key?.let { key ->
            Rendezvous.first(key, candidates) { it.entry.id.value }
        }
        val shared = tokens.sharedTokens
        var best: Placement? = null
        var bestCost = Double.MAX_VALUE
        for (load in candidates) {
            val known = load.cachedTokens(tokens)
            val cached = if (isSharedCacheAssumed && load === preferred) maxOf(shared, known) else known
            val uncached = (tokens.prompt - cached).coerceAtLeast(0)
            val prefill = PrefillTime.millisecondsOf(uncached, tokens.prompt)
            val expected = expectedMilliseconds(load, engine, prefill, now)
            val repeatedPrefill = (shared - cached).coerceAtLeast(0) * REPEATED_PREFILL_MILLISECONDS_PER_TOKEN
            val cacheOverflow = if (load.hasCacheCapacityFor(tokens, engine)) 0.0 else CACHE_OVERFLOW_MILLISECONDS
            val predicted = load.predictedMilliseconds(expected, now)
            val cost = predicted + repeatedPrefill + cacheOverflow +
                load.overdueMilliseconds(now) + load.health.failureScore(now) * MILLISECONDS_PER_RECENT_FAILURE +
                aims.latenessMilliseconds(predicted, now) +
                distinctionMilliseconds(load, tokens, aims).coerceAtMost(maximumDistinctionMilliseconds(shared, cached))
            if (cost < bestCost) {
                bestCost = cost
                best = Placement(load, uncached, prefill, expected, predicted)
            }
        }
        return best
    }

    /** Returns what distinguishes targets that are equally good otherwise. */
    private fun distinctionMilliseconds(load: TargetLoad, tokens: TokenDemand, aims: PlacementAims): Double =
        crossingMilliseconds(load, tokens, aims) + load.drawReluctance() * RELUCTANCE_MILLISECONDS

    /**
     * Returns how much that may count: for a target that has the [shared] tokens [cached] less than to read them again,
     * or else many routers would read a short shared part at many targets.
     */
    private fun maximumDistinctionMilliseconds(shared: Long, cached: Long): Double =
        if (shared in 1..cached) shared * REPEATED_PREFILL_MILLISECONDS_PER_TOKEN / 2 else Double.MAX_VALUE

    private fun crossingMilliseconds(load: TargetLoad, tokens: TokenDemand, aims: PlacementAims): Double =
        if (aims.isElsewhere(load)) {
            ELSEWHERE_MILLISECONDS + tokens.prompt * ELSEWHERE_MILLISECONDS_PER_TOKEN
        } else {
            0.0
        }

    private fun expectedMilliseconds(
        load: TargetLoad,
        engine: EngineProfile,
        prefill: Double,
        now: MonotonicTime,
    ): Double {
        val inFlight = load.inFlightRequests + load.report.externalRequests(now)
        val excess = (inFlight - engine.slots).coerceAtLeast(0.0)
        return load.backlogMilliseconds(now) + prefill +
            inFlight * MILLISECONDS_PER_RUNNING_REQUEST +
            (load.report.waitingRequests(now) + excess) * MILLISECONDS_PER_WAITING_REQUEST
    }

    private fun chooseForPlainCall(candidates: List<TargetLoad>, now: MonotonicTime, aims: PlacementAims): Placement? {
        val target = candidates.minByOrNull { load ->
            val inFlight = load.inFlightRequests + load.report.externalRequests(now)
            inFlight / load.slots + load.report.waitingRequests(now) + load.health.failureScore(now) +
                load.overdueMilliseconds(now) / PLAIN_CALL_EXPECTED_MILLISECONDS +
                (load.speed.slowdown(now) - 1) * LOAD_PER_SLOWDOWN +
                (if (aims.isElsewhere(load)) ELSEWHERE_LOAD else 0.0) + load.drawReluctance() * RELUCTANCE_LOAD
        } ?: return null
        val expected = PLAIN_CALL_EXPECTED_MILLISECONDS * plainCallTurns(target, now)
        return Placement(
            target,
            uncachedTokens = 0,
            prefillMilliseconds = 0.0,
            expectedMilliseconds = expected,
            predictedMilliseconds = target.predictedMilliseconds(expected, now),
        )
    }

    /** Returns how many calls one after the other a call waits for, itself included, if all take equally long. */
    private fun plainCallTurns(load: TargetLoad, now: MonotonicTime): Double {
        val requests = load.inFlightRequests + load.report.externalRequests(now) + 1
        return 1 + (requests - load.slots).coerceAtLeast(0.0) / load.slots
    }

    /** Each running request lengthens every decoding step of the engine. */
    private const val MILLISECONDS_PER_RUNNING_REQUEST = 4.0
    private const val MILLISECONDS_PER_WAITING_REQUEST = 60.0
    private const val MILLISECONDS_PER_RECENT_FAILURE = 80.0
    private const val CACHE_OVERFLOW_MILLISECONDS = 1_000.0

    /**
     * Cost of shared prompt tokens that the target has not cached. Their repeated prefill takes target time and evicts
     * other prefixes, so it is worthwhile only where the wait for the preferred target would miss the latency
     * objective.
     */
    private const val REPEATED_PREFILL_MILLISECONDS_PER_TOKEN = 0.06

    /** Expected time of a plain call. Being overdue by this time costs as much as having all slots in use. */
    private const val PLAIN_CALL_EXPECTED_MILLISECONDS = 100.0

    /** A target that takes twice as long costs a call about as much as half of the slots in use. */
    private const val LOAD_PER_SLOWDOWN = 0.5

    /** About the time between two data centres, there and back. */
    private const val ELSEWHERE_MILLISECONDS = 4.0

    /**
     * Cost of the bytes that a request takes to another data centre. It is far below the cost of reading a shared part
     * again, so these are read once in the fleet and not once in each data centre.
     */
    private const val ELSEWHERE_MILLISECONDS_PER_TOKEN = 0.001
    private const val ELSEWHERE_LOAD = 0.15

    /** Differences in cost below these say little, with reports that are some hundreds of milliseconds old. */
    private const val RELUCTANCE_MILLISECONDS = 10.0
    private const val RELUCTANCE_LOAD = 0.15
}
