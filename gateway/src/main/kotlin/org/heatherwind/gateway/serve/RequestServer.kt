package org.heatherwind.gateway.serve

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.heatherwind.core.fleet.ServiceProfile
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.SteadyClock
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.PlacementPolicy
import org.heatherwind.core.placement.UrgencyPolicy
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.CallerAnswer
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.caller.RequestHandler
import org.heatherwind.gateway.protocol.CallerProtocol
import org.heatherwind.gateway.state.BudgetDecision
import org.heatherwind.gateway.state.BudgetKeeper
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.RetryKeeper
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics

/** What serving a request needs. */
internal class ServeContext(
    val state: FleetState,
    val protocol: CallerProtocol,
    val budgets: BudgetKeeper,
    val retries: RetryKeeper,
    val client: TargetClient,
    val clock: SteadyClock,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val routers: () -> Int,
)

/** Serves callers' requests: admission, budget, tries on targets, and the final answer. */
internal class RequestServer(private val context: ServeContext) : RequestHandler {
    private val admission = Admission(context.state, context.clock)
    private val refusals = RefusalWriter(context.protocol)
    private val silence = SilencePolicy()

    override suspend fun serve(request: ReceivedRequest, answer: CallerAnswer) {
        val head = context.protocol.readRequest(request.head)
        val id = head.id.orEmpty()
        when (val admitted = admission.admit(request, head)) {
            is Either.Left -> {
                end(id, NO_ROUTE, admitted.value.code, "path" to request.path)
                refusals.write(answer, id, admitted.value)
            }

            is Either.Right -> serveAdmitted(admitted.value, request, answer)
        }
    }

    private suspend fun serveAdmitted(work: WorkRequest, request: ReceivedRequest, answer: CallerAnswer) {
        val progress = DeliveryProgress(answer)
        var refusal: Refusal?
        try {
            val left = work.deadline.millisecondsSince(context.clock.now()).coerceAtLeast(1)
            refusal = withTimeout(left) { serveFunded(work, request, progress) }
        } catch (_: TimeoutCancellationException) {
            refusal = Refusal(if (progress.mayHaveRun) ResultCode.DEADLINE_PASSED else ResultCode.DEADLINE_BEFORE_START)
        } catch (left: CancellationException) {
            end(work.id, work.route.name, ResultCode.CALLER_LEFT, "events" to progress.eventCount)
            throw left
        }
        end(work.id, work.route.name, refusal?.code ?: ResultCode.COMPLETED, "events" to progress.eventCount)
        if (refusal != null && !answer.hasBegun) refusals.write(answer, work.id, refusal)
    }

    private suspend fun serveFunded(work: WorkRequest, request: ReceivedRequest, progress: DeliveryProgress): Refusal? {
        val customer = work.customer
        val tokens = work.tokens
        if (customer == null || tokens == null) return serveTries(work, request, progress)
        val patience = maxOf(work.route.latencyObjectiveMilliseconds, BUDGET_PATIENCE_MILLISECONDS)
        val waitUntil = minOf(work.receivedAt.plusMilliseconds(patience), work.deadline)
        val reservation = when (val decision = context.budgets.reserve(customer, tokens.worstCase, waitUntil)) {
            BudgetDecision.Exhausted -> return Refusal(ResultCode.BUDGET_EXHAUSTED)
            BudgetDecision.Undivided -> return Refusal(ResultCode.BUDGET_UNDIVIDED, RETRY_BUDGET_MILLISECONDS)
            is BudgetDecision.Reserved -> decision.reservation
        }
        val meter = TokenMeter(reservation, tokens, tokensPerEvent(work))
        progress.meter = meter
        try {
            return serveTries(work, request, progress)
        } finally {
            meter.end(progress.mayHaveRun)
        }
    }

    private fun tokensPerEvent(work: WorkRequest): Int = context.state.routes?.plan?.services
        ?.get(work.route.destinations.first().service)?.engine?.tokensPerEvent ?: 1

    /** Tries targets until one answers. Answers the refusal that ends the request otherwise. */
    private suspend fun serveTries(work: WorkRequest, request: ReceivedRequest, progress: DeliveryProgress): Refusal? {
        val service =
            DestinationChoice.choose(work) ?: return Refusal(ResultCode.NO_TARGET_FREE, RETRY_TARGET_MILLISECONDS)
        val tried = HashSet<TargetId>()
        var sends = 0
        var arrivals = 0
        var lastRefusal = Refusal(ResultCode.NO_TARGET_FREE, RETRY_TARGET_MILLISECONDS)
        while (tried.size < MAXIMUM_TARGETS && sends < work.route.maximumTargets) {
            if (arrivals > 0 && !context.retries.tryTake(service, context.clock.now())) break
            val placement = choose(work, service, tried) ?: break
            val target = placement.target
            tried += target.entry.id
            if (arrivals == 0) context.retries.recordFirst(service, context.clock.now())
            val ranBefore = progress.mayHaveRun
            val result = attempt(work, request, placement, progress)
            context.log.request(
                work.id,
                "Try on a target ended.",
                "target" to target.entry.id.value,
                "result" to result,
                "send" to sends,
                "ageMilliseconds" to context.clock.now().millisecondsSince(work.receivedAt),
            )
            if (result !is AttemptResult.Unsent) arrivals++
            when (result) {
                is AttemptResult.Delivered -> return null

                is AttemptResult.Unsent -> Unit

                AttemptResult.Misdirected -> progress.mayHaveRun = ranBefore

                is AttemptResult.NotRun -> {
                    sends++
                    progress.mayHaveRun = ranBefore
                    if (!ranBefore) lastRefusal = Refusal(ResultCode.TARGET_REFUSED, RETRY_TARGET_MILLISECONDS)
                }

                is AttemptResult.Failed -> {
                    sends++
                    lastRefusal = Refusal(ResultCode.TARGET_FAILED)
                    val isLast = sends >= work.route.maximumTargets || !mayRepeat(work, progress)
                    if (isLast && !progress.answer.hasBegun) {
                        progress.answer.respond(result.status, result.headers, result.body)
                        return null
                    }
                }

                is AttemptResult.Broken -> {
                    sends++
                    lastRefusal = Refusal(
                        if (progress.answer.hasBegun) ResultCode.ANSWER_INTERRUPTED else ResultCode.TARGET_FAILED,
                    )
                }
            }
            if (progress.mayHaveRun && !mayRepeat(work, progress)) break
        }
        return lastRefusal
    }

    private suspend fun attempt(
        work: WorkRequest,
        request: ReceivedRequest,
        placement: Placement,
        progress: DeliveryProgress,
    ): AttemptResult {
        context.metrics.countSend(placement.target.entry.service.value, isFirst = !progress.mayHaveRun)
        return Attempt(
            work = work,
            received = request,
            placement = placement,
            progress = progress,
            urgency = work.tokens?.let { UrgencyPolicy.urgencyOf(work) },
            protocol = context.protocol,
            client = context.client,
            clock = context.clock,
            silence = silence,
        ).run()
    }

    private fun choose(work: WorkRequest, service: ServiceId, tried: Set<TargetId>): Placement? {
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

    private fun mayRepeat(work: WorkRequest, progress: DeliveryProgress): Boolean = when (work.route.repeatability) {
        Repeatability.AtMostOnce -> false
        Repeatability.Idempotent -> !progress.answer.hasBegun
        Repeatability.Resumable -> !progress.answer.hasBegun || progress.lastEventId != null
    }

    private fun end(id: String, route: String, code: ResultCode, vararg inputs: Pair<String, Any?>) {
        context.metrics.countRequest(route, code)
        context.log.request(id, "Ended.", "code" to code.number, "name" to code.name, "route" to route, *inputs)
    }

    private companion object {
        const val NO_ROUTE = "none"

        /** Targets asked for a connection before the request is refused. */
        const val MAXIMUM_TARGETS = 4

        /** A router that just lost the store may use more of its grants after about this long. */
        const val BUDGET_PATIENCE_MILLISECONDS = 2_000L

        /** Grants that went elsewhere come back about once a second. */
        const val RETRY_BUDGET_MILLISECONDS = 500L

        /** A slot frees up within some tens of milliseconds. */
        const val RETRY_TARGET_MILLISECONDS = 100L
        const val DEFAULT_CONNECTIONS = 100

        /** Part of a target's connections that the routers divide; the rest is for health checks and uneven shares. */
        const val CONNECTION_SHARE = 0.9
        const val MINIMUM_CONNECTIONS = 2
    }
}
