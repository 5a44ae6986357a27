package org.heatherwind.core.placement

import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.core.work.TokenDemand

/**
 * Where a request goes.
 *
 * @property uncachedTokens prompt tokens that the target probably has to read
 * @property prefillMilliseconds time that reading them takes
 * @property expectedMilliseconds predicted time to the first event
 */
public class Placement(
    public val target: TargetLoad,
    public val uncachedTokens: Long,
    public val prefillMilliseconds: Double,
    public val expectedMilliseconds: Double,
)

/** Chooses the target of a request from what this router knows of the targets. */
public object PlacementPolicy {
    /**
     * The target with the smallest expected wait, or null when none can take the request. Targets that were tried for
     * the request before stand in [excluded]. [connectionsPerTarget] bounds this router's open requests on one target.
     */
    public fun choose(
        candidates: List<TargetLoad>,
        engine: EngineProfile?,
        tokens: TokenDemand?,
        excluded: Set<TargetId>,
        connectionsPerTarget: Int,
        now: MonotonicTime,
    ): Placement? {
        val open = candidates.filter {
            !it.isReplaced && it.entry.id !in excluded && it.openRequests < connectionsPerTarget
        }
        val healthy = open.filterNot { it.isSuspected(now) }.ifEmpty { open }
        if (healthy.isEmpty()) return null
        return if (engine != null && tokens != null) {
            chooseEngine(healthy, engine, tokens, now)
        } else {
            choosePlain(healthy, now)
        }
    }

    private fun chooseEngine(
        candidates: List<TargetLoad>,
        engine: EngineProfile,
        tokens: TokenDemand,
        now: MonotonicTime,
    ): Placement? {
        val preferred = tokens.sharedParts.lastOrNull()?.key?.let { key ->
            Rendezvous.first(key, candidates) { it.entry.id.value }
        }
        val shared = tokens.sharedTokens
        var best: Placement? = null
        var bestCost = Double.MAX_VALUE
        for (load in candidates) {
            val kept = if (load === preferred) maxOf(shared, load.cachedTokens(tokens)) else load.cachedTokens(tokens)
            val unread = (tokens.prompt - kept).coerceAtLeast(0)
            val reading = PrefillTime.millisecondsOf(unread, tokens.prompt)
            val expected = expectedMilliseconds(load, engine, reading, now)
            val reread = (shared - kept).coerceAtLeast(0) * REREAD_MILLISECONDS_PER_TOKEN
            val misfit = if (load.hasCacheCapacityFor(tokens, engine)) 0.0 else MISFIT_MILLISECONDS
            val cost = expected * load.latencyRatio(now) + reread + misfit +
                load.overdueMilliseconds(now) + load.score(now) * FAILURE_MILLISECONDS
            if (cost < bestCost) {
                bestCost = cost
                best = Placement(load, unread, reading, expected)
            }
        }
        return best
    }

    private fun expectedMilliseconds(
        load: TargetLoad,
        engine: EngineProfile,
        reading: Double,
        now: MonotonicTime,
    ): Double {
        val busy = load.openRequests + load.externalRequests(now)
        val excess = (busy - engine.slots).coerceAtLeast(0.0)
        return load.backlogMilliseconds(now) + reading +
            busy * RUNNING_MILLISECONDS +
            (load.waitingRequests(now) + excess) * WAITING_MILLISECONDS
    }

    private fun choosePlain(candidates: List<TargetLoad>, now: MonotonicTime): Placement? {
        val target = candidates.minByOrNull { load ->
            val busy = load.openRequests + load.externalRequests(now)
            busy / load.entry.slots.coerceAtLeast(1) + load.waitingRequests(now) + load.score(now) +
                load.overdueMilliseconds(now) / PLAIN_OVERDUE_MILLISECONDS
        } ?: return null
        return Placement(
            target,
            uncachedTokens = 0,
            prefillMilliseconds = 0.0,
            expectedMilliseconds = PLAIN_OVERDUE_MILLISECONDS,
        )
    }

    /** A running request adds to the time of each step. */
    private const val RUNNING_MILLISECONDS = 4.0
    private const val WAITING_MILLISECONDS = 60.0
    private const val FAILURE_MILLISECONDS = 80.0
    private const val MISFIT_MILLISECONDS = 1_000.0

    /** A second read costs its target time and displaces what it keeps; it pays when the wait misses the objective. */
    private const val REREAD_MILLISECONDS_PER_TOKEN = 0.06

    /** A plain call that is late by this much counts like a full target. */
    private const val PLAIN_OVERDUE_MILLISECONDS = 100.0
}
