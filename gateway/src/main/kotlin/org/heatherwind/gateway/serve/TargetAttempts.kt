package org.heatherwind.gateway.serve

import org.heatherwind.core.fleet.ServiceProfile
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.PlacementAims
import org.heatherwind.core.placement.PlacementPolicy
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.placement.UrgencyPolicy
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.http.MemoryShare

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
    private val isIntroducedDrawn = context.rollouts.drawIntroduced(service)
    private val permission = SendPermission(service, context.retries, context.clock, ::isBlocked)
    private val gate = AdmissionGate(context, work, service, progress)
    private val room = context.rooms.of(service)
    private var error = RouterError(ResultCode.NO_TARGET_FREE)

    /** The attempt that has taken the request over from the current one, which is about to end. */
    private var successor: TargetAttempt? = null

    /** Tries targets until a response is delivered. Returns null if one was, or the error for the caller. */
    suspend fun run(): RouterError? {
        try {
            var attempt = startNext()
            while (attempt != null) {
                val result = attempt.forward()
                if (recordResult(attempt, result)) return null
                val mayContinue = mayContinueAfter(result, attempt)
                attempt = takeSuccessor() ?: if (mayContinue) startNext() else null
            }
        } finally {
            takeSuccessor()?.end()
            room.callNext()
        }
        return if (progress.deliverFailure()) null else finalError()
    }

    /** Sends the request to a target. Returns the attempt, or null if no further target can be tried. */
    private suspend fun startNext(): TargetAttempt? {
        while (permission.mayLook(isFirst = sentAttempts == 0) && mayAttempt()) {
            val placement = gate.awaitPlacement(triedTargets, ::choose) ?: return null
            if (!permission.tryAcquire(isFirst = sentAttempts == 0)) return null
            val attempt = newAttempt(placement)
            val result = connect(attempt)
            if (result == null) return attempt.apply { send() }
            recordResult(attempt, result)
        }
        return null
    }

    /**
     * Sends the request to another target while the response of the [current] one is overdue. Returns whether that
     * target has taken the request over, as [successor]; otherwise the current attempt goes on.
     */
    private suspend fun takeOver(current: TargetAttempt): Boolean {
        var mayContinue = true
        while (mayContinue && mayTakeOver(current)) {
            val placement = choose()?.takeIf { context.retries.tryAcquire(service, context.clock.now()) } ?: break
            val attempt = newAttempt(placement)
            val result = startBeside(attempt, current)
            if (result == null) {
                successor = attempt
                return true
            }
            recordResult(attempt, result)
            mayContinue = mayContinueAfter(result, attempt)
        }
        context.log.request(
            work.id,
            "Kept a target whose response is overdue.",
            "target" to current.placement.target.entry.id.value,
            "triedTargets" to triedTargets.size,
            "countedAttempts" to countedAttempts,
            "events" to progress.eventCount,
        )
        return false
    }

    /**
     * Starts [attempt] beside the [current] one. Returns null if it has taken the request over, or its result. It does
     * not take over without an answer if the current target goes on with its own.
     */
    private suspend fun startBeside(attempt: TargetAttempt, current: TargetAttempt): AttemptResult? {
        connect(attempt)?.let { return it }
        attempt.send()
        val result = attempt.awaitAnswer(context.clock.now().plusMilliseconds(MAXIMUM_OVERLAP_MILLISECONDS))
        if (result != null || attempt.hasAnswered || !current.isGoingOn) return result
        attempt.end()
        return AttemptResult.Incomplete("no answer before the first target went on")
    }

    /** Connects [attempt]. Returns null if its request may be sent, or its result. */
    private suspend fun connect(attempt: TargetAttempt): AttemptResult? {
        attempt.connect()?.let { return it }
        if (!context.state.isEvacuated(attempt.placement.target)) return null
        return AttemptResult.NotSent("the data centre was evacuated").also { attempt.end(it) }
    }

    private fun takeSuccessor(): TargetAttempt? = successor.also { successor = null }

    private fun isBlocked(): Boolean {
        val refusal = context.crashes.refusalOf(work, progress.keys) ?: return false
        if (!progress.mayHaveRun) error = refusal
        return true
    }

    /** A connection that is lost soon after the answer has begun may be lost to a crash by the request, too. */
    private suspend fun mayContinueAfter(result: AttemptResult, attempt: TargetAttempt): Boolean {
        val isConnectionLost = result is AttemptResult.Incomplete && result.isConnectionLost
        if (!isConnectionLost || attempt.hasOutlivedAnswer) return true
        return context.crashes.recordLostConnection(work, progress.keys, attempt.placement.target)
    }

    private fun mayAttempt(): Boolean = triedTargets.size < MAXIMUM_TARGETS &&
        countedAttempts < work.route.maximumTargets && (!progress.mayHaveRun || mayRetry())

    /** Returns whether the request may be sent to another target while the [current] attempt is under way. */
    private fun mayTakeOver(current: TargetAttempt): Boolean =
        !current.isGoingOn && !isBlocked() && hasAttemptLeftBesideCurrent()

    private fun hasAttemptLeftBesideCurrent(): Boolean =
        triedTargets.size < MAXIMUM_TARGETS && countedAttempts + 1 < work.route.maximumTargets && mayRetry()

    private fun mayRetry(): Boolean = when (work.route.repeatability) {
        Repeatability.AtMostOnce -> false
        Repeatability.Idempotent -> !progress.callerResponse.hasStarted
        Repeatability.Resumable -> !progress.callerResponse.hasStarted || progress.lastEventId != null
    }

    /** Chooses a target. Only the first attempt may go to a version that is being introduced. */
    private fun choose(): Placement? {
        val introduced = if (isIntroducedDrawn && triedTargets.isEmpty()) {
            chooseAmong(context.rollouts.introducedTargetsOf(service), isSharedCacheAssumed = false)
        } else {
            null
        }
        return Placement.introducedOrElse(introduced, context.clock.now()) {
            chooseAmong(context.rollouts.targetsOf(service), isSharedCacheAssumed = true)
        }
    }

    /** Returns the error for the caller, who may come back when room is expected if the targets had none. */
    private fun finalError(): RouterError = when {
        error.code != ResultCode.NO_TARGET_FREE && error.code != ResultCode.TARGET_REFUSED -> error
        context.state.isEvacuated(service) -> error.copy(retryAfterMilliseconds = EVACUATION_RETRY_AFTER_MILLISECONDS)
        else -> error.copy(retryAfterMilliseconds = gate.retryAfterMilliseconds())
    }

    private fun chooseAmong(candidates: List<TargetLoad>, isSharedCacheAssumed: Boolean): Placement? {
        val profile: ServiceProfile? = context.state.routes?.plan?.services?.get(service)
        val connections = (profile?.maximumConnections ?: DEFAULT_CONNECTIONS) * CONNECTION_SHARE /
            context.liveRouterCount().coerceAtLeast(1)
        return PlacementPolicy.choose(
            candidates = candidates,
            engine = profile?.engine,
            tokens = work.tokens,
            excluded = triedTargets,
            connectionsPerTarget = connections.toInt().coerceAtLeast(MINIMUM_CONNECTIONS),
            now = context.clock.now(),
            isSharedCacheAssumed = isSharedCacheAssumed,
            aims = aims(candidates),
        )
    }

    /**
     * Lateness is weighed only among targets that state their speed. Predictions for others are too rough to leave the
     * target that has the prompt's shared parts cached.
     */
    private fun aims(candidates: List<TargetLoad>): PlacementAims {
        val objective = work.route.latencyObjectiveMilliseconds
        val isSpeedStated = candidates.any { it.speed.isStated }
        return PlacementAims(
            firstEventDue = if (isSpeedStated) work.receivedAt.plusMilliseconds(objective) else null,
            objectiveMilliseconds = objective,
            dataCentre = context.dataCentre,
        )
    }

    private fun isElsewhere(placement: Placement): Boolean =
        PlacementAims(dataCentre = context.dataCentre).isElsewhere(placement.target)

    private fun engineRanks(): List<Int> = context.state.routes?.plan?.engineRanks.orEmpty()

    private fun newAttempt(placement: Placement): TargetAttempt {
        triedTargets += placement.target.entry.id
        context.metrics.countSend(service.value, isFirst = sentAttempts == 0 && !progress.mayHaveRun)
        if (isElsewhere(placement)) context.metrics.countSendElsewhere(service.value)
        logChoice(placement)
        work.tokens?.let { context.announcements.announce(placement, it) }
        return TargetAttempt(
            work = work,
            request = request,
            placement = placement,
            progress = progress,
            urgency = work.tokens?.let { UrgencyPolicy.urgencyOf(work, engineRanks()) },
            protocol = context.protocol,
            client = context.client,
            clock = context.clock,
            responseTimeouts = context.responseTimeouts,
            memory = MemoryShare(context.responseMemory),
            notices = context.notices,
            observation = context.rollouts.observe(service, work.route.name, placement),
            takeOver = ::takeOver,
        )
    }

    /** Records the [result] of [attempt]. Returns whether the request is complete. */
    private fun recordResult(attempt: TargetAttempt, result: AttemptResult): Boolean {
        logResult(attempt, result)
        context.metrics.countReceived(service.value, attempt.received)
        if (result !is AttemptResult.NotSent) sentAttempts++
        room.callNext()
        when (result) {
            is AttemptResult.Delivered -> {
                room.estimate.recordRun(attempt.runMilliseconds)
                progress.recordAnswerOutlived()
                return true
            }

            is AttemptResult.NotSent, AttemptResult.Misdirected -> Unit

            is AttemptResult.NotRun -> {
                countedAttempts++
                val target = attempt.placement.target
                if (target.brittleness.bearableRefusals != null) context.announcements.announceRefusal(target.entry.id)
                if (!progress.mayHaveRun) error = RouterError(ResultCode.TARGET_REFUSED)
            }

            is AttemptResult.Failed -> {
                countedAttempts++
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
        "predictedMilliseconds" to placement.predictedMilliseconds.toLong(),
        "isElsewhere" to isElsewhere(placement),
        "slowdown" to placement.target.speed.slowdown(context.clock.now()),
        "slowness" to placement.target.learnedSlowness.factor(context.clock.now()),
        "planVersion" to context.state.routes?.plan?.version,
    )

    private fun logResult(attempt: TargetAttempt, result: AttemptResult): Unit = context.log.request(
        work.id,
        "Attempt on a target ended.",
        "target" to attempt.placement.target.entry.id.value,
        "result" to result.describe(),
        "send" to countedAttempts,
        "ageMilliseconds" to context.clock.now().millisecondsSince(work.receivedAt),
        "receivedBytes" to attempt.received.bytes,
        "receivedParts" to attempt.received.parts,
        "forwardedEvents" to attempt.received.forwardedEvents,
    )

    private companion object {
        /** Maximum number of targets tried for a request, including those that accept no connection. */
        const val MAXIMUM_TARGETS = 4

        /** Evacuations last for seconds. A caller that returns at once is refused again, and most return only once. */
        const val EVACUATION_RETRY_AFTER_MILLISECONDS = 2_000L
        const val DEFAULT_CONNECTIONS = 100

        /** Fraction of a target's connections shared by the routers; the rest is for health checks and uneven use. */
        const val CONNECTION_SHARE = 0.9
        const val MINIMUM_CONNECTIONS = 2

        /**
         * How long a silent target's connection stays open after the request was sent to another one. A full target
         * refuses within some milliseconds; two targets must not work on one request for 400 ms.
         */
        const val MAXIMUM_OVERLAP_MILLISECONDS = 200L
    }
}
