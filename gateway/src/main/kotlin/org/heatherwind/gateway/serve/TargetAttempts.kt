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

/** The tries of one request on targets of one service, one after the other. */
internal class TargetAttempts(
    private val context: ServeContext,
    private val work: WorkRequest,
    private val request: ReceivedRequest,
    private val progress: DeliveryProgress,
    private val service: ServiceId,
) {
    private val tried = HashSet<TargetId>()

    /** Targets that took the request or refused it as the ones it was meant for. */
    private var sends = 0

    /** Times that the request reached any target. */
    private var arrivals = 0
    private var lastFailure: AttemptResult.Failed? = null
    private var refusal = Refusal(ResultCode.NO_TARGET_FREE, RETRY_MILLISECONDS)

    /** Tries targets until one answers. Answers the refusal that ends the request otherwise. */
    suspend fun run(): Refusal? {
        while (mayTry()) {
            val placement = choose() ?: break
            if (arrivals == 0) context.retries.recordFirstAttempt(service, context.clock.now())
            if (take(attempt(placement))) return null
        }
        val failure = lastFailure ?: return refusal
        if (progress.answer.hasBegun) return refusal
        progress.answer.respond(failure.status, failure.headers, failure.body)
        return null
    }

    private fun mayTry(): Boolean {
        val isOpen = tried.size < MAXIMUM_TARGETS && sends < work.route.maximumTargets &&
            (!progress.mayHaveRun || mayRepeat())
        return isOpen && (arrivals == 0 || context.retries.tryAcquire(service, context.clock.now()))
    }

    private fun mayRepeat(): Boolean = when (work.route.repeatability) {
        Repeatability.AtMostOnce -> false
        Repeatability.Idempotent -> !progress.answer.hasBegun
        Repeatability.Resumable -> !progress.answer.hasBegun || progress.lastEventId != null
    }

    private fun choose(): Placement? {
        val profile: ServiceProfile? = context.state.routes?.plan?.services?.get(service)
        val connections = (profile?.maximumConnections ?: DEFAULT_CONNECTIONS) * CONNECTION_SHARE /
            context.routers().coerceAtLeast(1)
        return PlacementPolicy.choose(
            candidates = context.state.candidatesOf(service),
            engine = profile?.engine,
            tokens = work.tokens,
            excluded = tried,
            connectionsPerTarget = connections.toInt().coerceAtLeast(MINIMUM_CONNECTIONS),
            now = context.clock.now(),
        )
    }

    private suspend fun attempt(placement: Placement): AttemptResult {
        val ranBefore = progress.mayHaveRun
        tried += placement.target.entry.id
        context.metrics.countSend(service.value, isFirst = arrivals == 0)
        logChoice(placement)
        work.tokens?.let { context.announcements.announce(placement, it) }
        val result = TargetAttempt(
            work = work,
            received = request,
            placement = placement,
            progress = progress,
            urgency = work.tokens?.let { UrgencyPolicy.urgencyOf(work) },
            protocol = context.protocol,
            client = context.client,
            clock = context.clock,
            responseTimeouts = context.responseTimeouts,
        ).run()
        if (result is AttemptResult.NotRun || result is AttemptResult.Misdirected) progress.mayHaveRun = ranBefore
        log(placement, result)
        return result
    }

    /** Takes in how a try ended. Answers whether the request is answered. */
    private fun take(result: AttemptResult): Boolean {
        if (result !is AttemptResult.Unsent) arrivals++
        when (result) {
            is AttemptResult.Delivered -> return true

            is AttemptResult.Unsent, AttemptResult.Misdirected -> Unit

            is AttemptResult.NotRun -> {
                sends++
                if (!progress.mayHaveRun) refusal = Refusal(ResultCode.TARGET_REFUSED, RETRY_MILLISECONDS)
            }

            is AttemptResult.Failed -> {
                sends++
                lastFailure = result
                refusal = Refusal(ResultCode.TARGET_FAILED)
            }

            is AttemptResult.Broken -> {
                sends++
                val hasBegun = progress.answer.hasBegun
                refusal = Refusal(if (hasBegun) ResultCode.ANSWER_INTERRUPTED else ResultCode.TARGET_FAILED)
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
        "openRequests" to placement.target.openRequests,
        "pace" to placement.target.latencyRatio(context.clock.now()),
        "planVersion" to context.state.routes?.plan?.version,
    )

    private fun log(placement: Placement, result: AttemptResult): Unit = context.log.request(
        work.id,
        "Try on a target ended.",
        "target" to placement.target.entry.id.value,
        "result" to result.describe(),
        "send" to sends,
        "ageMilliseconds" to context.clock.now().millisecondsSince(work.receivedAt),
    )

    private companion object {
        /** Targets asked for a connection before the request is refused. */
        const val MAXIMUM_TARGETS = 4

        /** A slot frees up within some tens of milliseconds. */
        const val RETRY_MILLISECONDS = 100L
        const val DEFAULT_CONNECTIONS = 100

        /** Part of a target's connections that the routers divide; the rest is for health checks and uneven shares. */
        const val CONNECTION_SHARE = 0.9
        const val MINIMUM_CONNECTIONS = 2
    }
}
