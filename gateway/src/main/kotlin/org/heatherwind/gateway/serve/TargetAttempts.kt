package org.heatherwind.gateway.serve

import org.heatherwind.core.fleet.ServiceProfile
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.PlacementPolicy
import org.heatherwind.core.placement.UrgencyPolicy
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.ReceivedRequest

/** The consecutive attempts of one request on targets of one service. */
internal class TargetAttempts(
    private val context: ServeContext,
    private val work: WorkRequest,
    private val request: ReceivedRequest,
    private val progress: DeliveryProgress,
    private val service: ServiceId,
) {
    private val triedTargets = HashSet<TargetId>()

    /** Attempts that count against the route's limit: the request was sent and not misdirected. */
    private var countedAttempts = 0

    /** Attempts in which the request was sent, including misdirected ones. */
    private var sentAttempts = 0
    private var lastFailure: AttemptResult.Failed? = null
    private var error = RouterError(ResultCode.NO_TARGET_FREE, RETRY_AFTER_MILLISECONDS)

    /** Tries targets until a response is delivered. Returns null if one was, or the error for the caller. */
    suspend fun run(): RouterError? {
        while (!isBlocked() && mayAttempt()) {
            val placement = choose() ?: break
            if (sentAttempts == 0) context.retries.recordFirstAttempt(service, context.clock.now())
            val result = attempt(placement)
            if (recordResult(result)) return null
            if (!mayContinueAfter(result, placement)) break
        }
        val failure = lastFailure ?: return error
        if (progress.callerResponse.hasStarted) return error
        progress.callerResponse.respond(failure.status, failure.headers, failure.body)
        return null
    }

    private fun isBlocked(): Boolean {
        val refusal = context.crashes.refusalOf(work, progress.keys) ?: return false
        if (!progress.mayHaveRun) error = refusal
        return true
    }

    private suspend fun mayContinueAfter(result: AttemptResult, placement: Placement): Boolean {
        val isConnectionLost = result is AttemptResult.Incomplete && result.isConnectionLost
        if (!isConnectionLost || progress.hasAnswerBegun) return true
        return context.crashes.recordLostConnection(work, progress.keys, placement.target)
    }

    private fun mayAttempt(): Boolean {
        val isWithinLimits = triedTargets.size < MAXIMUM_TARGETS && countedAttempts < work.route.maximumTargets &&
            (!progress.mayHaveRun || mayRetry())
        return isWithinLimits && (sentAttempts == 0 || context.retries.tryAcquire(service, context.clock.now()))
    }

    /** Returns whether the request could be sent to another target if the current attempt were given up. */
    private fun mayContinueElsewhere(): Boolean =
        triedTargets.size < MAXIMUM_TARGETS && countedAttempts + 1 < work.route.maximumTargets && mayRetry() &&
            context.retries.isAvailable(service, context.clock.now()) && choose() != null

    private fun mayRetry(): Boolean = when (work.route.repeatability) {
        Repeatability.AtMostOnce -> false
        Repeatability.Idempotent -> !progress.callerResponse.hasStarted
        Repeatability.Resumable -> !progress.callerResponse.hasStarted || progress.lastEventId != null
    }

    private fun choose(): Placement? {
        val profile: ServiceProfile? = context.state.routes?.plan?.services?.get(service)
        val connections = (profile?.maximumConnections ?: DEFAULT_CONNECTIONS) * CONNECTION_SHARE /
            context.liveRouterCount().coerceAtLeast(1)
        return PlacementPolicy.choose(
            candidates = context.state.candidatesOf(service),
            engine = profile?.engine,
            tokens = work.tokens,
            excluded = triedTargets,
            connectionsPerTarget = connections.toInt().coerceAtLeast(MINIMUM_CONNECTIONS),
            now = context.clock.now(),
        )
    }

    private suspend fun attempt(placement: Placement): AttemptResult {
        val mayHaveRunBefore = progress.mayHaveRun
        triedTargets += placement.target.entry.id
        context.metrics.countSend(service.value, isFirst = sentAttempts == 0)
        logChoice(placement)
        work.tokens?.let { context.announcements.announce(placement, it) }
        val result = TargetAttempt(
            work = work,
            request = request,
            placement = placement,
            progress = progress,
            urgency = work.tokens?.let { UrgencyPolicy.urgencyOf(work) },
            protocol = context.protocol,
            client = context.client,
            clock = context.clock,
            responseTimeouts = context.responseTimeouts,
            mayContinueElsewhere = ::mayContinueElsewhere,
        ).run()
        if (result is AttemptResult.NotRun || result is AttemptResult.Misdirected) {
            progress.mayHaveRun = mayHaveRunBefore
        }
        logResult(placement, result)
        return result
    }

    /** Records the [result] of an attempt. Returns whether the request is complete. */
    private fun recordResult(result: AttemptResult): Boolean {
        if (result !is AttemptResult.NotSent) sentAttempts++
        when (result) {
            is AttemptResult.Delivered -> {
                progress.recordAnswerBegun()
                return true
            }

            is AttemptResult.NotSent, AttemptResult.Misdirected -> Unit

            is AttemptResult.NotRun -> {
                countedAttempts++
                if (!progress.mayHaveRun) error = RouterError(ResultCode.TARGET_REFUSED, RETRY_AFTER_MILLISECONDS)
            }

            is AttemptResult.Failed -> {
                countedAttempts++
                lastFailure = result
                error = RouterError(ResultCode.TARGET_FAILED)
            }

            is AttemptResult.Incomplete -> {
                countedAttempts++
                val hasStarted = progress.callerResponse.hasStarted
                error = RouterError(if (hasStarted) ResultCode.ANSWER_INTERRUPTED else ResultCode.TARGET_FAILED)
            }
        }
        return false
    }

    private fun logChoice(placement: Placement): Unit = context.log.request(
        work.id,
        "Chose a target.",
        "target" to placement.target.entry.id.value,
        "unreadTokens" to placement.uncachedTokens,
        "expectedMilliseconds" to placement.expectedMilliseconds.toLong(),
        "backlogMilliseconds" to placement.target.backlogMilliseconds(context.clock.now()).toLong(),
        "openRequests" to placement.target.inFlightRequests,
        "pace" to placement.target.latencyRatio(context.clock.now()),
        "planVersion" to context.state.routes?.plan?.version,
    )

    private fun logResult(placement: Placement, result: AttemptResult): Unit = context.log.request(
        work.id,
        "Attempt on a target ended.",
        "target" to placement.target.entry.id.value,
        "result" to result.describe(),
        "send" to countedAttempts,
        "ageMilliseconds" to context.clock.now().millisecondsSince(work.receivedAt),
    )

    private companion object {
        /** Maximum number of targets tried for a request, including those that accept no connection. */
        const val MAXIMUM_TARGETS = 4

        /** A slot becomes free within some tens of milliseconds. */
        const val RETRY_AFTER_MILLISECONDS = 100L
        const val DEFAULT_CONNECTIONS = 100

        /** Fraction of a target's connections shared by the routers; the rest is for health checks and uneven use. */
        const val CONNECTION_SHARE = 0.9
        const val MINIMUM_CONNECTIONS = 2
    }
}
