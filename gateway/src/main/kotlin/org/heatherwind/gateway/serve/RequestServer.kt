package org.heatherwind.gateway.serve

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.CallerResponseWriter
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.caller.RequestHandler
import org.heatherwind.gateway.peer.PlacementAnnouncements
import org.heatherwind.gateway.protocol.CallerProtocol
import org.heatherwind.gateway.state.BudgetDecision
import org.heatherwind.gateway.state.BudgetManager
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.RetryThrottles
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics

/** What serving a request needs. */
internal class ServeContext(
    val state: FleetState,
    val protocol: CallerProtocol,
    val budgets: BudgetManager,
    val retries: RetryThrottles,
    val client: TargetClient,
    val announcements: PlacementAnnouncements,
    val clock: MonotonicClock,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val routers: () -> Int,
    val responseTimeouts: ResponseTimeoutPolicy = ResponseTimeoutPolicy(),
)

/** Serves callers' requests: admission, budget, tries on targets, and the final answer. */
internal class RequestServer(private val context: ServeContext) : RequestHandler {
    private val admission = Admission(context.state, context.clock)
    private val refusals = RefusalWriter(context.protocol)

    override suspend fun serve(request: ReceivedRequest, answer: CallerResponseWriter) {
        val head = context.protocol.readRequest(request.head)
        val id = head.id.orEmpty()
        when (val admitted = admission.admit(request, head)) {
            is Either.Left -> {
                end(
                    id,
                    NO_ROUTE,
                    admitted.value.code,
                    "path" to request.path,
                    "planVersion" to context.state.routes?.plan?.version,
                    "planAgeMilliseconds" to context.clock.now().millisecondsSince(context.state.planCheckedAt),
                )
                refusals.write(answer, id, admitted.value)
            }

            is Either.Right -> serveAdmitted(admitted.value, request, answer)
        }
    }

    private suspend fun serveAdmitted(work: WorkRequest, request: ReceivedRequest, answer: CallerResponseWriter) {
        val progress = DeliveryProgress(answer)
        var refusal: Refusal?
        try {
            val left = work.deadline.millisecondsSince(context.clock.now()).coerceAtLeast(1)
            refusal = withTimeout(left) { serveFunded(work, request, progress) }
        } catch (_: TimeoutCancellationException) {
            refusal = Refusal(if (progress.mayHaveRun) ResultCode.DEADLINE_PASSED else ResultCode.DEADLINE_BEFORE_START)
        } catch (left: CancellationException) {
            endAdmitted(work, ResultCode.CALLER_LEFT, progress)
            throw left
        }
        endAdmitted(work, refusal?.code ?: ResultCode.COMPLETED, progress)
        if (refusal != null && !answer.hasBegun) refusals.write(answer, work.id, refusal)
    }

    private suspend fun serveFunded(work: WorkRequest, request: ReceivedRequest, progress: DeliveryProgress): Refusal? {
        val customer = work.customer
        val tokens = work.tokens
        if (customer == null || tokens == null) return serveTries(work, request, progress)
        val patience = maxOf(work.route.latencyObjectiveMilliseconds, BUDGET_PATIENCE_MILLISECONDS)
        val waitUntil = minOf(work.receivedAt.plusMilliseconds(patience), work.deadline)
        val decision = context.budgets.reserve(customer, tokens.worstCase, waitUntil)
        if (decision !is BudgetDecision.Reserved) {
            context.log.request(
                work.id,
                "No tokens could be reserved.",
                "customer" to customer.id.value,
                "tokens" to tokens.worstCase,
                "decision" to decision,
            )
        }
        val reservation = when (decision) {
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

    private suspend fun serveTries(work: WorkRequest, request: ReceivedRequest, progress: DeliveryProgress): Refusal? {
        val service = DestinationChoice.choose(work) ?: return Refusal(ResultCode.NO_TARGET_FREE)
        return TargetAttempts(context, work, request, progress, service).run()
    }

    private fun endAdmitted(work: WorkRequest, code: ResultCode, progress: DeliveryProgress) {
        progress.answer.begunAt?.let { begunAt ->
            context.metrics.observeFirstPiece(work.route.name, begunAt.millisecondsSince(work.receivedAt))
        }
        end(work.id, work.route.name, code, "events" to progress.eventCount)
    }

    private fun end(id: String, route: String, code: ResultCode, vararg inputs: Pair<String, Any?>) {
        context.metrics.countRequest(route, code)
        context.log.request(id, "Ended.", "code" to code.number, "name" to code.name, "route" to route, *inputs)
    }

    private companion object {
        const val NO_ROUTE = "none"

        /** A router that just lost the store may use more of its grants after about this long. */
        const val BUDGET_PATIENCE_MILLISECONDS = 2_000L

        /** Grants that went elsewhere come back a few times a second. */
        const val RETRY_BUDGET_MILLISECONDS = 500L
    }
}
