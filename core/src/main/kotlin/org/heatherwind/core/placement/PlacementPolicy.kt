package org.heatherwind.core.placement

import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.Moment
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.core.work.TokenDemand

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
        now: Moment,
    ): TargetLoad? {
        val open = candidates.filter { it.entry.id !in excluded && it.openRequests < connectionsPerTarget }
        val healthy = open.filterNot { it.isSuspected(now) }.ifEmpty { open }
        if (healthy.isEmpty()) return null
        return if (engine != null && tokens != null) {
            chooseEngine(healthy, engine, tokens, now)
        } else {
            choosePlain(healthy, now)
        }
    }

    /**
     * Expected milliseconds until the first event of a request with [tokens] on [load], where [cachedTokens] of its prompt
     * need not be read.
     */
    public fun expectedWait(load: TargetLoad, engine: EngineProfile, unread: Long, now: Moment): Double {
        val busy = load.openRequests + load.foreignRequests(now)
        val overfull = (busy - engine.slots).coerceAtLeast(0.0)
        return (load.unreadTokens + unread) / READ_TOKENS_PER_MILLISECOND +
            busy * MILLISECONDS_PER_RUNNING_REQUEST +
            load.waitingRequests(now) * MILLISECONDS_PER_WAITING_REQUEST +
            overfull * MILLISECONDS_PER_WAITING_REQUEST +
            load.score(now) * MILLISECONDS_PER_FAILURE
    }

    /** Tokens of the prompt that a target need not read again when it holds the shared parts. */
    public fun sharedTokens(tokens: TokenDemand): Long = tokens.parts.dropLast(1).sumOf { it.tokens }

    private fun chooseEngine(
        candidates: List<TargetLoad>,
        engine: EngineProfile,
        tokens: TokenDemand,
        now: Moment,
    ): TargetLoad? {
        val affinityKey = affinityKeyOf(tokens)
        val shared = if (affinityKey == null) 0 else sharedTokens(tokens)
        val preferred = affinityKey?.let { key -> Rendezvous.first(key, candidates) { it.entry.id.value } }
        return candidates.minByOrNull { load ->
            val unread = if (load === preferred) tokens.prompt - shared else tokens.prompt
            val fits = load.occupiedTokens + tokens.worstCase <= engine.cacheCapacityTokens
            expectedWait(load, engine, unread.coerceAtLeast(0), now) + if (fits) 0.0 else MEMORY_PENALTY_MILLISECONDS
        }
    }

    private fun choosePlain(candidates: List<TargetLoad>, now: Moment): TargetLoad? = candidates.minByOrNull { load ->
        val busy = load.openRequests + load.foreignRequests(now)
        busy / load.entry.slots.coerceAtLeast(1) + load.waitingRequests(now) + load.score(now)
    }

    /** The last part that other requests share; the request's own last part is never shared. */
    private fun affinityKeyOf(tokens: TokenDemand): String? =
        tokens.parts.getOrNull(tokens.parts.size - 2)?.key

    /** Prompt tokens that an engine of the users reads in a millisecond, from the sheets (62 to 101). */
    private const val READ_TOKENS_PER_MILLISECOND = 70.0

    /** A running request adds to the time of each step. */
    private const val MILLISECONDS_PER_RUNNING_REQUEST = 4.0
    private const val MILLISECONDS_PER_WAITING_REQUEST = 60.0
    private const val MILLISECONDS_PER_FAILURE = 80.0
    private const val MEMORY_PENALTY_MILLISECONDS = 1_000.0
}
