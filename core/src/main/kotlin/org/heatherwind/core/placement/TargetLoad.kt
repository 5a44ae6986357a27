package org.heatherwind.core.placement

import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.target.TargetAvailability
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.TokenDemand

/**
 * This router's view of one target's load and health. Confined to one thread.
 *
 * @property drawReluctance draws a number from 0 to 1 for one choice, so that routers that see targets alike don't all
 *   choose the same one, and a router goes on trying each of them
 * @param paceSharing what the paces of the service's targets share
 * @param history what is known of the target's present life from an earlier entry, or null
 */
public class TargetLoad(
    public var entry: TargetEntry,
    paceSharing: PaceSharing = PaceSharing(),
    public val drawReluctance: () -> Double = { 0.0 },
    history: TargetHistory? = null,
) {
    private val awaitingFirstEvent = LinkedHashSet<InFlightRequest>()
    private val prefixCache = PrefixCacheEstimate(PREFIX_CACHE_CAPACITY_TOKENS)
    private val latencyRatioEstimate = LatencyRatioEstimate(LATENCY_RATIO_WEIGHT)

    /** Limits what the target gets while it has just started or recovered. */
    public val pace: TargetPace =
        history?.pace?.takeIf { history.entry.service == entry.service }?.also { it.useSlots { slots } }
            ?: TargetPace(entry.id, { slots }, paceSharing)

    /** How fast the target works at present, from its own reports. */
    public val speed: TargetSpeed = TargetSpeed()

    /** How fast the target works in general, as learned from its answers. */
    public val learnedSlowness: LearnedSlowness = LearnedSlowness()

    /** What the target or the list of targets has stated about its being cold. */
    public val coldStatements: ColdStatements = history?.coldStatements ?: ColdStatements()

    /** Until when the target is cold, as it or the list of targets has stated last. */
    public var coldUntil: MonotonicTime by coldStatements::until

    /** What the target may get while it states that it is brittle. */
    public val brittleness: Brittleness = Brittleness { paceSharing.knownRouters?.size ?: 1 }

    /** What the target has reported last of its load. */
    public val report: LoadReport = LoadReport()

    /** What this router's requests have shown of the target's failures. */
    public val health: TargetHealth = TargetHealth()

    /** In-flight requests of this router on the target. */
    public var inFlightRequests: Int = 0
        private set

    private var pendingPrefillMilliseconds = 0.0
    private var announcedMilliseconds = 0.0
    private var announcedAt = MonotonicTime.distantPast

    /** Requests that the target runs at once, as it has stated last. */
    public val slots: Int get() = report.slots(entry.slots)

    /** Tokens that this router's in-flight requests may occupy in the target's cache. */
    public var occupiedTokens: Long = 0
        private set

    /** What the target has stated in its answers about further requests. */
    public var availability: TargetAvailability = history?.availability ?: TargetAvailability()
        set(value) {
            if (value.closedUntil > field.closedUntil) pace.begin(PaceCause.PAUSE_ENDED, value.closedUntil)
            field = value
        }

    /** Returns what stays known of the target when its entry is gone or replaced, without this view of its load. */
    public fun toHistory(): TargetHistory {
        val lastSlots = slots
        pace.useSlots { lastSlots }
        return TargetHistory(entry, availability, pace, coldStatements)
    }

    /** Whether another target responded at the address. Stays true until the list of targets contains the new one. */
    public var isReplaced: Boolean = false
        private set

    /** Returns whether the target may get another request of this router at [now], suspicions aside. */
    public fun isOpen(now: MonotonicTime): Boolean = mayBeSent(now) && !pace.isClaimed &&
        brittleness.isOpen(slots, inFlightRequests, report.lastExternalRequests, now)

    /** Returns whether a request for which the target was chosen may be sent to it at [now]. */
    public fun mayBeSent(now: MonotonicTime): Boolean = !isReplaced && availability.isOpen(now) &&
        pace.isWithinCeiling(coldUntil, now)

    /** Returns whether the target should get no requests at [now] for its pace, while another one is available. */
    public fun isHeldBack(now: MonotonicTime): Boolean = !pace.isOpen(inFlightRequests, now)

    /** Returns whether the requests that are known to be at the target at [now] take all of its slots. */
    public fun isFull(now: MonotonicTime): Boolean = inFlightRequests + report.externalRequests(now) >= slots

    /** Returns the cached prefix tokens of a prompt, as estimated from the prompts known to have been sent here. */
    public fun cachedTokens(tokens: TokenDemand): Long = prefixCache.cachedTokens(tokens.parts)

    /**
     * Records that a request was sent to the target.
     *
     * @param tokens the size of a generation, or null for a plain call
     * @param prefillMilliseconds predicted prefill time
     * @param expectedMilliseconds predicted time to the first event
     */
    public fun recordSent(
        tokens: TokenDemand?,
        prefillMilliseconds: Double,
        expectedMilliseconds: Double,
        now: MonotonicTime,
    ): InFlightRequest {
        val occupiedTokens = tokens?.worstCaseTokens ?: 0
        val request = InFlightRequest(
            prefillMilliseconds,
            occupiedTokens,
            expectedMilliseconds,
            sentAt = now,
            slowdown = speed.slowdown(now),
            slowness = learnedSlowness.factor(now),
        )
        inFlightRequests++
        brittleness.recordSent(now)
        awaitingFirstEvent += request
        pendingPrefillMilliseconds += request.prefillMilliseconds
        this.occupiedTokens += request.occupiedTokens
        if (tokens != null) prefixCache.recordPrompt(tokens.parts)
        return request
    }

    /**
     * Records another router's announcement that it sent a prompt that begins with [parts] and whose prefill takes
     * [prefillMilliseconds].
     */
    public fun recordAnnounced(prefillMilliseconds: Double, parts: List<PromptPart>, now: MonotonicTime) {
        announcedMilliseconds = announcedBacklogMilliseconds(now) + prefillMilliseconds
        announcedAt = now
        prefixCache.recordPrompt(parts)
    }

    /** Returns the predicted milliseconds until the prefill of all prompts known to be at the target is done. */
    public fun backlogMilliseconds(now: MonotonicTime): Double {
        val ownBacklog = awaitingFirstEvent.firstOrNull()
            ?.let { pendingPrefillMilliseconds - now.millisecondsSince(it.sentAt) / timeFactor(now) } ?: 0.0
        return ownBacklog.coerceAtLeast(0.0) + announcedBacklogMilliseconds(now)
    }

    private fun announcedBacklogMilliseconds(now: MonotonicTime): Double {
        if (announcedMilliseconds == 0.0) return 0.0
        return (announcedMilliseconds - now.millisecondsSince(announcedAt) / timeFactor(now)).coerceAtLeast(0.0)
    }

    /** Returns how many times as long as a target of usual speed this one takes for its work at [now]. */
    private fun timeFactor(now: MonotonicTime): Double =
        if (speed.isStated) speed.slowdown(now) * learnedSlowness.factor(now) else 1.0

    /** Records the first event of [request] at [now], or, if [now] is null, that none will come. */
    public fun recordFirstEvent(request: InFlightRequest, now: MonotonicTime?) {
        if (request.hasFirstEvent) return
        request.hasFirstEvent = true
        awaitingFirstEvent -= request
        pendingPrefillMilliseconds -= request.prefillMilliseconds
        if (now != null) {
            val actual = now.millisecondsSince(request.sentAt).toDouble()
            // What the target states is left out of what is learned, and that out of the recent ratio, so that each
            // counts once.
            val usual = request.expectedMilliseconds * (request.slowdown + speed.slowdown(now)) / 2
            latencyRatioEstimate.observe(usual * request.slowness, actual, now)
            if (isSlownessLearned(now) && request.sentAt >= coldUntil) learnedSlowness.observe(usual, actual, now)
            pace.recordAnswer(request, actual, now, usual * request.slowness)
        }
    }

    /**
     * Returns whether answers at [now] show the general speed of the target: it states its present one, and is neither
     * cold nor just returned.
     */
    public fun isSlownessLearned(now: MonotonicTime): Boolean = speed.isStated && !pace.isLimited && now >= coldUntil

    /** Records that [request] ended, with or without success. */
    public fun recordEnded(request: InFlightRequest) {
        recordFirstEvent(request, now = null)
        inFlightRequests--
        occupiedTokens -= request.occupiedTokens
    }

    /**
     * Records the target's load report, received at [now]: its [running] and [waiting] requests of all routers, and, if
     * it states them, its [slots] and the [slowdown] of its work at present.
     */
    public fun recordLoadReport(
        running: Int,
        waiting: Int,
        now: MonotonicTime,
        slots: Int? = null,
        slowdown: Double? = null,
    ) {
        report.record(running.toDouble() + waiting - inFlightRequests, waiting, slots, now)
        brittleness.recordReport(now)
        slowdown?.let { speed.recordReport(it, now) }
        if (waiting == 0 && running < this.slots) health.endOverload()
    }

    /** Returns the time to the first event at the target's present speed; [expectedMilliseconds] at the usual one. */
    public fun predictedMilliseconds(expectedMilliseconds: Double, now: MonotonicTime): Double {
        if (!speed.isStated) return expectedMilliseconds * latencyRatio(now)
        return latencyRatioEstimate.predict(expectedMilliseconds * timeFactor(now), now)
    }

    /** Returns the recent ratio of the actual to the predicted time to the first event. */
    public fun latencyRatio(now: MonotonicTime): Double = latencyRatioEstimate.ratioAt(now)

    /**
     * Returns by how many milliseconds the oldest request without a first event is overdue, with a tolerance for
     * inaccurate predictions.
     */
    public fun overdueMilliseconds(now: MonotonicTime): Double {
        val oldest = awaitingFirstEvent.firstOrNull() ?: return 0.0
        val excess = now.millisecondsSince(oldest.sentAt) - oldest.expectedMilliseconds * OVERDUE_FACTOR
        return (excess - OVERDUE_GRACE_MILLISECONDS).coerceAtLeast(0.0)
    }

    /** Records a complete response, which ends a suspicion. */
    public fun recordSuccess(now: MonotonicTime) {
        health.recordSuccess(now)
        pace.recordSuccess(now)
    }

    /** Records an error response. A partially failed target may send these while its health check passes. */
    public fun recordErrorResponse(now: MonotonicTime) {
        health.recordErrorResponse(now)
        pace.recordFailure(now)
    }

    /** Records that another target responded at the address. */
    public fun recordReplaced() {
        isReplaced = true
    }

    /** Records an overload rejection at [now]: the target is full, regardless of its last load report. */
    public fun recordOverload(now: MonotonicTime) {
        report.recordFull(now)
        brittleness.recordRefused(now)
        health.recordOverload(now)
        pace.recordFailure(now)
    }

    /** Records at [now] that a connection failed or no response came within the timeout. */
    public fun recordConnectionFailure(now: MonotonicTime) {
        health.recordConnectionFailure(now)
        pace.recordFailure(now)
        pace.begin(PaceCause.SUSPICION_ENDED, health.suspectedUntil)
    }

    /** Returns whether [demand] fits into the cache of the target's [engine] beside this router's other requests. */
    public fun hasCacheCapacityFor(demand: TokenDemand, engine: EngineProfile): Boolean =
        occupiedTokens + demand.worstCaseTokens <= engine.cacheCapacityTokens

    private companion object {
        /** Half of the cache capacity of a supported engine. */
        const val PREFIX_CACHE_CAPACITY_TOKENS = 250_000L

        /** A few observations are enough to detect a target that became slow. */
        const val LATENCY_RATIO_WEIGHT = 0.25

        /** Predictions are often wrong by up to this factor, so a smaller delay is not significant. */
        const val OVERDUE_FACTOR = 2.0
        const val OVERDUE_GRACE_MILLISECONDS = 100.0
    }
}
