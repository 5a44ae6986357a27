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
import org.heatherwind.gateway.crash.CrashProtection
import org.heatherwind.gateway.crash.RequestKeys
import org.heatherwind.gateway.peer.PlacementAnnouncements
import org.heatherwind.gateway.protocol.CallerProtocol
import org.heatherwind.gateway.state.BudgetDecision
import org.heatherwind.gateway.state.BudgetManager
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.RetryThrottles
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics

/**
 * The dependencies of serving a request.
 *
 * @property liveRouterCount returns the number of live routers
 */
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
    val crashes: CrashProtection,
    val liveRouterCount: () -> Int,
    val responseTimeouts: ResponseTimeoutPolicy = ResponseTimeoutPolicy(),
)

/** Serves callers' requests: admission, token reservation, attempts on targets, and the final response. */
internal class RequestServer(private val context: ServeContext) : RequestHandler {
    private val admission = Admission(context.state, context.clock)
    private val errorWriter = RouterErrorWriter(context.protocol)

    override suspend fun serve(request: ReceivedRequest, response: CallerResponseWriter) {
        val head = context.protocol.readRequest(request.head)
        val id = head.id.orEmpty()
        when (val admitted = admission.admit(request, head)) {
            is Either.Left -> {
                recordEnd(
                    id,
                    NO_ROUTE,
                    admitted.value.code,
                    "path" to request.path,
                    "planVersion" to context.state.routes?.plan?.version,
                    "planAgeMilliseconds" to context.clock.now().millisecondsSince(context.state.planCheckedAt),
                )
                errorWriter.write(response, id, admitted.value)
            }

            is Either.Right -> serveAdmitted(admitted.value, request, response)
        }
    }

    private suspend fun serveAdmitted(work: WorkRequest, request: ReceivedRequest, response: CallerResponseWriter) {
        val keys = RequestKeys(work, request)
        val progress = DeliveryProgress(response, keys) { context.crashes.recordAnswer(keys) }
        var error: RouterError?
        try {
            val remainingMilliseconds = work.deadline.millisecondsSince(context.clock.now()).coerceAtLeast(1)
            error = withTimeout(remainingMilliseconds) { serveWithReservation(work, request, progress) }
        } catch (_: TimeoutCancellationException) {
            error = RouterError(
                if (progress.mayHaveRun) ResultCode.DEADLINE_PASSED else ResultCode.DEADLINE_BEFORE_START,
            )
        } catch (disconnect: CancellationException) {
            recordAdmittedEnd(work, ResultCode.CALLER_LEFT, progress)
            throw disconnect
        }
        recordAdmittedEnd(work, error?.code ?: ResultCode.COMPLETED, progress)
        if (error != null && !response.hasStarted) errorWriter.write(response, work.id, error)
    }

    private suspend fun serveWithReservation(
        work: WorkRequest,
        request: ReceivedRequest,
        progress: DeliveryProgress,
    ): RouterError? {
        context.crashes.refusalOf(work, progress.keys)?.let { return it }
        val customer = work.customer
        val tokens = work.tokens
        if (customer == null || tokens == null) return serveAttempts(work, request, progress)
        val waitMilliseconds = maxOf(work.route.latencyObjectiveMilliseconds, BUDGET_WAIT_MILLISECONDS)
        val waitUntil = minOf(work.receivedAt.plusMilliseconds(waitMilliseconds), work.deadline)
        val decision = context.budgets.reserve(customer, tokens.worstCaseTokens, waitUntil)
        if (decision !is BudgetDecision.Reserved) {
            context.log.request(
                work.id,
                "Token reservation failed.",
                "customer" to customer.id.value,
                "tokens" to tokens.worstCaseTokens,
                "decision" to decision,
            )
        }
        val reservation = when (decision) {
            BudgetDecision.Exhausted -> return RouterError(ResultCode.BUDGET_EXHAUSTED)

            is BudgetDecision.Unavailable -> return RouterError(
                ResultCode.BUDGET_UNDIVIDED,
                retryAfterMilliseconds(decision.isStoreUnreachable),
            )

            is BudgetDecision.Reserved -> decision.reservation
        }
        val meter = TokenMeter(reservation, tokens, tokensPerEvent(work))
        progress.meter = meter
        try {
            return serveAttempts(work, request, progress)
        } finally {
            meter.end(progress.mayHaveRun)
        }
    }

    private fun retryAfterMilliseconds(isStoreUnreachable: Boolean): Long =
        if (isStoreUnreachable) PARTITION_RETRY_AFTER_MILLISECONDS else BUDGET_RETRY_AFTER_MILLISECONDS

    private fun tokensPerEvent(work: WorkRequest): Int = context.state.routes?.plan?.services
        ?.get(work.route.destinations.first().service)?.engine?.tokensPerEvent ?: 1

    private suspend fun serveAttempts(
        work: WorkRequest,
        request: ReceivedRequest,
        progress: DeliveryProgress,
    ): RouterError? {
        val service = DestinationChoice.choose(work) ?: return RouterError(ResultCode.NO_TARGET_FREE)
        return TargetAttempts(context, work, request, progress, service).run()
    }

    private fun recordAdmittedEnd(work: WorkRequest, code: ResultCode, progress: DeliveryProgress) {
        progress.callerResponse.startedAt?.let { startedAt ->
            context.metrics.observeFirstChunk(work.route.name, startedAt.millisecondsSince(work.receivedAt))
        }
        recordEnd(work.id, work.route.name, code, "events" to progress.eventCount)
    }

    private fun recordEnd(id: String, route: String, code: ResultCode, vararg fields: Pair<String, Any?>) {
        context.metrics.countRequest(route, code)
        context.log.request(id, "Ended.", "code" to code.number, "name" to code.name, "route" to route, *fields)
    }

    private companion object {
        const val NO_ROUTE = "none"

        /** A router that cannot reach the store may use more of its grants after about this long. */
        const val BUDGET_WAIT_MILLISECONDS = 2_000L

        /** Grants held by other routers are returned a few times per second. */
        const val BUDGET_RETRY_AFTER_MILLISECONDS = 500L

        /**
         * Partitions last for several seconds, in which spend ceilings grow with time. A caller that returns at once
         * would be refused again, and most callers return only once.
         */
        const val PARTITION_RETRY_AFTER_MILLISECONDS = 2_000L
    }
}
