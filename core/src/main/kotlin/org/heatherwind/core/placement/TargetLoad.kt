package org.heatherwind.core.placement

import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.TokenDemand

/** What this router knows of one target's load and health. Confined to one thread. */
public class TargetLoad(public var entry: TargetEntry) {
    private val unread = LinkedHashSet<InFlightRequest>()
    private val prefixes = PrefixCacheEstimate(REMEMBERED_TOKENS)
    private val pace = LatencyRatioEstimate(PACE_WEIGHT)

    /** Requests of this router that the target has and has not answered whole. */
    public var openRequests: Int = 0
        private set

    private var unreadMilliseconds = 0.0
    private var announcedMilliseconds = 0.0
    private var announcedAt = MonotonicTime.distantPast

    /** Tokens that this router's requests may occupy in the target's memory. */
    public var occupiedTokens: Long = 0
        private set

    private var reportedForeign: Double = 0.0
    private var reportedWaiting: Int = 0
    private var reportedAt: MonotonicTime = MonotonicTime.distantPast
    private var consecutiveFailures: Int = 0
    private var failureScore: Double = 0.0
    private var failureScoreAt: MonotonicTime = MonotonicTime.distantPast

    /** The target gets no work but single trials until this moment. */
    public var suspectedUntil: MonotonicTime = MonotonicTime.distantPast
        private set

    /** Whether another target was found at the address, until the list names the new one. */
    public var isReplaced: Boolean = false
        private set

    /** Prompt tokens that the target need not read again, as far as this router's own sends tell. */
    public fun cachedTokens(tokens: TokenDemand): Long = prefixes.cachedTokens(tokens.parts)

    /** Notes that a request was sent whose prompt takes [prefillMilliseconds] to read. */
    public fun recordSent(
        tokens: TokenDemand?,
        prefillMilliseconds: Double,
        expectedMilliseconds: Double,
        now: MonotonicTime,
    ): InFlightRequest {
        val send = InFlightRequest(prefillMilliseconds, tokens?.worstCase ?: 0, expectedMilliseconds, now)
        openRequests++
        unread += send
        unreadMilliseconds += send.prefillMilliseconds
        occupiedTokens += send.occupiedTokens
        if (tokens != null) prefixes.recordPrompt(tokens.parts)
        return send
    }

    /** Notes that another router sent a prompt that takes [prefillMilliseconds] to read and begins with [parts]. */
    public fun recordAnnounced(prefillMilliseconds: Double, parts: List<PromptPart>, now: MonotonicTime) {
        announcedMilliseconds = announcedBacklog(now) + prefillMilliseconds
        announcedAt = now
        prefixes.recordPrompt(parts)
    }

    /** Milliseconds until the target has read the prompts that it was sent, as far as this router knows. */
    public fun backlogMilliseconds(now: MonotonicTime): Double {
        val oldest = unread.firstOrNull()
        val own = if (oldest == null) 0.0 else unreadMilliseconds - now.millisecondsSince(oldest.sentAt)
        return own.coerceAtLeast(0.0) + announcedBacklog(now)
    }

    private fun announcedBacklog(now: MonotonicTime): Double =
        (announcedMilliseconds - now.millisecondsSince(announcedAt)).coerceAtLeast(0.0)

    /** Notes the first event of [send] at [now], or with [now] null that none will come. */
    public fun recordFirstEvent(send: InFlightRequest, now: MonotonicTime?) {
        if (send.hasFirstEvent) return
        send.hasFirstEvent = true
        unread -= send
        unreadMilliseconds -= send.prefillMilliseconds
        if (now != null) {
            val actual = now.millisecondsSince(send.sentAt).toDouble()
            pace.observe(send.expectedMilliseconds, actual, now)
        }
    }

    /** Notes that [send] ended. */
    public fun recordEnded(send: InFlightRequest) {
        recordFirstEvent(send, now = null)
        openRequests--
        occupiedTokens -= send.occupiedTokens
    }

    /** Takes in the target's own word of its load at [now]. */
    public fun recordLoadReport(running: Int, waiting: Int, now: MonotonicTime) {
        reportedForeign = (running + waiting - openRequests).coerceAtLeast(0).toDouble()
        reportedWaiting = waiting
        reportedAt = now
    }

    /** Requests of other routers, as last reported; the report fades with its age. */
    public fun externalRequests(now: MonotonicTime): Double = reportedForeign * freshness(now)

    /** Requests that wait at the target, as last reported. */
    public fun waitingRequests(now: MonotonicTime): Double = reportedWaiting * freshness(now)

    /** How much slower than predicted first events have come lately. */
    public fun latencyRatio(now: MonotonicTime): Double = pace.ratioAt(now)

    /** Milliseconds by which the oldest request without a first event is later than predicted. */
    public fun overdueMilliseconds(now: MonotonicTime): Double {
        val oldest = unread.firstOrNull() ?: return 0.0
        val late = now.millisecondsSince(oldest.sentAt) - oldest.expectedMilliseconds * OVERDUE_FACTOR
        return (late - OVERDUE_GRACE_MILLISECONDS).coerceAtLeast(0.0)
    }

    /** Notes a whole answer. */
    public fun recordSuccess(now: MonotonicTime) {
        consecutiveFailures = 0
        suspectedUntil = MonotonicTime.distantPast
        failureScore = score(now) * SUCCESS_RETENTION
        failureScoreAt = now
    }

    /** Notes an error that the target sent, which a grey target sends while its health check passes. */
    public fun recordErrorResponse(now: MonotonicTime) {
        failureScore = score(now) + 1
        failureScoreAt = now
    }

    /** Notes that another target answers at the address. */
    public fun recordReplaced() {
        isReplaced = true
    }

    /** Notes that the target shed a request at [now]: it is full whatever its last report says. */
    public fun recordOverload(now: MonotonicTime) {
        reportedWaiting = maxOf(reportedWaiting, 1)
        reportedAt = now
        suspectedUntil = maxOf(suspectedUntil, now.plusMilliseconds(SHED_PAUSE_MILLISECONDS))
    }

    /** Notes a connection that failed or fell silent at [now]. */
    public fun recordConnectionFailure(now: MonotonicTime) {
        consecutiveFailures++
        failureScore = score(now) + 1
        failureScoreAt = now
        val doublings = (consecutiveFailures - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        suspectedUntil = now.plusMilliseconds(FIRST_SUSPICION_MILLISECONDS shl doublings)
    }

    /** Whether the target gets no ordinary work at [now]. */
    public fun isSuspected(now: MonotonicTime): Boolean = now < suspectedUntil

    /** Whether [demand] fits into the target's memory beside this router's other requests. */
    public fun hasCacheCapacityFor(demand: TokenDemand, engine: EngineProfile): Boolean =
        occupiedTokens + demand.worstCase <= engine.cacheCapacityTokens

    /** Recent failures, fading. */
    public fun score(now: MonotonicTime): Double {
        val age = now.millisecondsSince(failureScoreAt)
        if (age > FAILURE_FORGOTTEN_MILLISECONDS) return 0.0
        return failureScore * (1 - age.toDouble() / FAILURE_FORGOTTEN_MILLISECONDS)
    }

    private fun freshness(now: MonotonicTime): Double {
        val age = now.millisecondsSince(reportedAt)
        return if (age > REPORT_FORGOTTEN_MILLISECONDS) 0.0 else 1 - age.toDouble() / REPORT_FORGOTTEN_MILLISECONDS
    }

    private companion object {
        /** Long enough that one failure costs a target little, short enough to notice its return. */
        const val FIRST_SUSPICION_MILLISECONDS = 400L
        const val MAXIMUM_DOUBLINGS = 3

        /** A place frees up within some tens of milliseconds. */
        const val SHED_PAUSE_MILLISECONDS = 60L

        /** The share of past failures that one success leaves in the score. */
        const val SUCCESS_RETENTION = 0.8

        /** Failures older than this say nothing of a target's present state. */
        const val FAILURE_FORGOTTEN_MILLISECONDS = 6_000L

        /** Most requests end within two seconds, so an older report names none that still run. */
        const val REPORT_FORGOTTEN_MILLISECONDS = 2_000L

        /** Prompt parts of this many tokens are remembered, half of what an engine of the users keeps. */
        const val REMEMBERED_TOKENS = 250_000L

        /** A few observations are enough to follow a target that turned slow. */
        const val PACE_WEIGHT = 0.25

        /** Predictions are off by this factor often enough that less says nothing. */
        const val OVERDUE_FACTOR = 2.0
        const val OVERDUE_GRACE_MILLISECONDS = 100.0
    }
}
