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
        history?.pace?.takeIf { history.entry.service == entry.service }
            ?: TargetPace(entry.id, { entry.slots }, paceSharing)

    /** How fast the target works at present, from its own reports. */
    public val speed: TargetSpeed = TargetSpeed()

    /** How fast the target works in general, as learned from its answers. */
    public val learnedSlowness: LearnedSlowness = LearnedSlowness()

    private val coldStatements = history?.coldStatements ?: ColdStatements()

    /** Until when the target is cold, as it or the list of targets has stated last. */
    public var coldUntil: MonotonicTime by coldStatements::until

    /** In-flight requests of this router on the target. */
    public var inFlightRequests: Int = 0
        private set

    private var pendingPrefillMilliseconds = 0.0
    private var announcedMilliseconds = 0.0
    private var announcedAt = MonotonicTime.distantPast

    /** Requests that the target runs at once, as it has stated last. */
    public val slots: Int get() = (reportedSlots?.takeIf { isCredible(it) } ?: entry.slots).coerceAtLeast(1)

    private fun isCredible(slots: Int): Boolean {
        val listed = entry.slots.coerceAtLeast(1)
        return slots <= listed * CREDIBLE_SLOTS_FACTOR && listed <= slots * CREDIBLE_SLOTS_FACTOR
    }

    /** Tokens that this router's in-flight requests may occupy in the target's cache. */
    public var occupiedTokens: Long = 0
        private set

    private var reportedExternalRequests: Double = 0.0
    private var reportedWaitingRequests: Int = 0
    private var reportedSlots: Int? = null
    private var reportedAt: MonotonicTime = MonotonicTime.distantPast
    private var consecutiveFailures: Int = 0
    private var lastFailureScore: Double = 0.0
    private var lastFailureScoreAt: MonotonicTime = MonotonicTime.distantPast

    /** Until this time the target gets requests only if no unsuspected target is available. */
    public var suspectedUntil: MonotonicTime = MonotonicTime.distantPast
        private set

    /** Until when the target is taken for full, since it has rejected a request for overload. */
    public var overloadedUntil: MonotonicTime = MonotonicTime.distantPast
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
    public fun isOpen(now: MonotonicTime): Boolean = mayBeSent(now) && !pace.isClaimed

    /** Returns whether a request for which the target was chosen may be sent to it at [now]. */
    public fun mayBeSent(now: MonotonicTime): Boolean = !isReplaced && availability.isOpen(now) &&
        pace.isWithinCeiling(coldUntil, now)

    /** Returns whether the target should get no requests at [now] for its pace, while another one is available. */
    public fun isHeldBack(now: MonotonicTime): Boolean = !pace.isOpen(inFlightRequests, now)

    /** Returns whether the requests that are known to be at the target at [now] take all of its slots. */
    public fun isFull(now: MonotonicTime): Boolean = inFlightRequests + externalRequests(now) >= slots

    /**
     * Records at [now] that the target stays cold for [milliseconds], as its entry at [offset] of the list of targets
     * states. An entry that is read again, or after a newer one, changes nothing.
     */
    public fun recordListedCold(milliseconds: Long, offset: Long, now: MonotonicTime): Unit =
        coldStatements.recordListed(milliseconds, offset, now)

    /** Records that the target has stated in an answer, received at [now], to stay cold for [milliseconds]. */
    public fun recordStatedCold(milliseconds: Long, now: MonotonicTime): Unit = coldStatements.record(milliseconds, now)

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
        val oldest = awaitingFirstEvent.firstOrNull()
        val ownBacklog = if (oldest == null) 0.0 else pendingPrefillMilliseconds - doneSince(oldest.sentAt, now)
        return ownBacklog.coerceAtLeast(0.0) + announcedBacklogMilliseconds(now)
    }

    private fun announcedBacklogMilliseconds(now: MonotonicTime): Double =
        (announcedMilliseconds - doneSince(announcedAt, now)).coerceAtLeast(0.0)

    /** Returns the milliseconds that a target of usual speed takes for the work of this one from [start] to [now]. */
    private fun doneSince(start: MonotonicTime, now: MonotonicTime): Double =
        now.millisecondsSince(start) / (speed.slowdown(now) * learnedSlowness.factor(now))

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
            if (isSettled(now) && request.sentAt >= coldUntil) learnedSlowness.observe(usual, actual, now)
            pace.recordAnswer(request, actual, now, usual * request.slowness)
        }
    }

    /** Returns whether the target is at [now] as fast as it is in general: neither cold nor just returned. */
    public fun isSettled(now: MonotonicTime): Boolean = !pace.isLimited && now >= coldUntil

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
        reportedExternalRequests = (running.toDouble() + waiting - inFlightRequests).coerceAtLeast(0.0)
        reportedWaitingRequests = waiting
        reportedSlots = slots
        reportedAt = now
        slowdown?.let { speed.recordReport(it, now) }
        if (waiting == 0 && running < this.slots) endOverload()
    }

    /** Returns the external requests of the last load report; their number decays with the report's age. */
    public fun externalRequests(now: MonotonicTime): Double = reportedExternalRequests * reportWeight(now)

    /** Returns the waiting requests of the last load report; their number decays with the report's age. */
    public fun waitingRequests(now: MonotonicTime): Double = reportedWaitingRequests * reportWeight(now)

    /** Returns the time to the first event at the target's present speed; [expectedMilliseconds] at the usual one. */
    public fun predictedMilliseconds(expectedMilliseconds: Double, now: MonotonicTime): Double =
        latencyRatioEstimate.predict(expectedMilliseconds * speed.slowdown(now) * learnedSlowness.factor(now), now)

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
        consecutiveFailures = 0
        endOverload()
        suspectedUntil = MonotonicTime.distantPast
        pace.recordSuccess(now)
        lastFailureScore = failureScore(now) * SUCCESS_RETENTION
        lastFailureScoreAt = now
    }

    /** Records an error response. A partially failed target may send these while its health check passes. */
    public fun recordErrorResponse(now: MonotonicTime) {
        pace.recordFailure(now)
        lastFailureScore = failureScore(now) + 1
        lastFailureScoreAt = now
    }

    /** Records that another target responded at the address. */
    public fun recordReplaced() {
        isReplaced = true
    }

    /** Records an overload rejection at [now]: the target is full, regardless of its last load report. */
    public fun recordOverload(now: MonotonicTime) {
        pace.recordFailure(now)
        reportedWaitingRequests = maxOf(reportedWaitingRequests, 1)
        reportedAt = now
        overloadedUntil = now.plusMilliseconds(OVERLOAD_PAUSE_MILLISECONDS)
        suspectedUntil = maxOf(suspectedUntil, overloadedUntil)
    }

    /** Lifts the closure after a rejection, since the target has shown that it has places again. */
    private fun endOverload() {
        if (suspectedUntil == overloadedUntil) suspectedUntil = MonotonicTime.distantPast
        overloadedUntil = MonotonicTime.distantPast
    }

    /** Records at [now] that a connection failed or no response came within the timeout. */
    public fun recordConnectionFailure(now: MonotonicTime) {
        consecutiveFailures++
        lastFailureScore = failureScore(now) + 1
        lastFailureScoreAt = now
        val doublings = (consecutiveFailures - 1).coerceAtMost(MAXIMUM_SUSPICION_DOUBLINGS)
        suspectedUntil = now.plusMilliseconds(INITIAL_SUSPICION_MILLISECONDS shl doublings)
        pace.recordFailure(now)
        pace.begin(PaceCause.SUSPICION_ENDED, suspectedUntil)
    }

    /** Returns whether the target should get no requests at [now] while another target is available. */
    public fun isSuspected(now: MonotonicTime): Boolean = now < suspectedUntil

    /** Returns whether [demand] fits into the cache of the target's [engine] beside this router's other requests. */
    public fun hasCacheCapacityFor(demand: TokenDemand, engine: EngineProfile): Boolean =
        occupiedTokens + demand.worstCaseTokens <= engine.cacheCapacityTokens

    /** Returns the weighted number of recent failures, which decays with time and with each success. */
    public fun failureScore(now: MonotonicTime): Double {
        val age = now.millisecondsSince(lastFailureScoreAt)
        if (age > FAILURE_LIFETIME_MILLISECONDS) return 0.0
        return lastFailureScore * (1 - age.toDouble() / FAILURE_LIFETIME_MILLISECONDS)
    }

    private fun reportWeight(now: MonotonicTime): Double {
        val age = now.millisecondsSince(reportedAt)
        return if (age > REPORT_LIFETIME_MILLISECONDS) 0.0 else 1 - age.toDouble() / REPORT_LIFETIME_MILLISECONDS
    }

    init {
        pace.useSlots { slots }
    }

    private companion object {
        /** Short, so that a single failure diverts few requests and a recovery is detected soon. */
        const val INITIAL_SUSPICION_MILLISECONDS = 400L
        const val MAXIMUM_SUSPICION_DOUBLINGS = 3

        /** Targets change their slots somewhat; what states many times more or less than its entry is wrong. */
        const val CREDIBLE_SLOTS_FACTOR = 4L

        /** A slot usually becomes free within some tens of milliseconds. */
        const val OVERLOAD_PAUSE_MILLISECONDS = 60L

        /** Share of the failure score that remains after a success. */
        const val SUCCESS_RETENTION = 0.8

        /** Older failures do not indicate the target's present state. */
        const val FAILURE_LIFETIME_MILLISECONDS = 6_000L

        /** Most requests end within two seconds, so the requests in an older report have probably ended. */
        const val REPORT_LIFETIME_MILLISECONDS = 2_000L

        /** Half of the cache capacity of a supported engine. */
        const val PREFIX_CACHE_CAPACITY_TOKENS = 250_000L

        /** A few observations are enough to detect a target that became slow. */
        const val LATENCY_RATIO_WEIGHT = 0.25

        /** Predictions are often wrong by up to this factor, so a smaller delay is not significant. */
        const val OVERDUE_FACTOR = 2.0
        const val OVERDUE_GRACE_MILLISECONDS = 100.0
    }
}
