package org.heatherwind.gateway.serve

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.heatherwind.core.admission.RecentRefusals
import org.heatherwind.core.admission.RetryAfterPolicy
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.CallerResponseWriter
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.caller.RequestHandler
import org.heatherwind.gateway.caller.RouterStoppingException
import org.heatherwind.gateway.crash.CrashProtection
import org.heatherwind.gateway.http.MemoryLimit
import org.heatherwind.gateway.peer.PlacementAnnouncements
import org.heatherwind.gateway.protocol.CallerProtocol
import org.heatherwind.gateway.rollout.RolloutManager
import org.heatherwind.gateway.state.BudgetDecision
import org.heatherwind.gateway.state.BudgetManager
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.RetryThrottles
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics

/**
 * The dependencies of serving a request.
 *
 * @property responseMemory limits the bytes that are held for responses of targets
 * @property liveRouterCount returns the number of live routers
 * @property dataCentre where this router runs, or null if that is not known
 * @property overload returns the error for a request that has just arrived, or null if this router serves it
 * @property stopDeadline returns when the requests in progress are ended, or null while the router takes new ones
 */
internal class ServeContext(
    val state: FleetState,
    val protocol: CallerProtocol,
    val budgets: BudgetManager,
    val retries: RetryThrottles,
    val client: TargetClient,
    val announcements: PlacementAnnouncements,
    val rollouts: RolloutManager,
    val clock: MonotonicClock,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val crashes: CrashProtection,
    val responseMemory: MemoryLimit,
    val liveRouterCount: () -> Int,
    val stopDeadline: () -> MonotonicTime? = { null },
    val overload: () -> RouterError? = { null },
    val notices: TargetNotices = TargetNotices(clock, log, metrics),
    val responseTimeouts: ResponseTimeoutPolicy = ResponseTimeoutPolicy(),
    val dataCentre: DataCentreId? = null,
    val rooms: WaitingRooms = WaitingRooms(clock),
    val refusals: RecentRefusals = RecentRefusals(),
)

/** Serves callers' requests: admission, token reservation, attempts on targets, and the final response. */
internal class RequestServer(private val context: ServeContext) : RequestHandler {
    private val admission = Admission(context.state, context.clock, context.stopDeadline, context.overload)
    private val errorWriter = RouterErrorWriter(context.protocol)

    override suspend fun serve(request: ReceivedRequest, response: CallerResponseWriter) {
        val progress = DeliveryProgress(response)
        val planVersion = planVersion()
        try {
            serve(request, progress, planVersion)
        } catch (end: CancellationException) {
            throw end
        } catch (@Suppress("TooGenericExceptionCaught") failure: Throwable) {
            // Whatever fails, a request that was read gets an answer.
            endWithFailure(request, progress, planVersion, failure)
        } finally {
            progress.releaseFailure()
        }
    }

    private suspend fun serve(request: ReceivedRequest, progress: DeliveryProgress, planVersion: Long?) {
        val head = context.protocol.readRequest(request.head)
        val id = head.id.orEmpty()
        progress.requestId = id
        when (val admitted = admission.admit(request, head)) {
            is Either.Left -> {
                recordEnd(
                    id,
                    NO_ROUTE,
                    admitted.value.code,
                    "path" to request.path,
                    "planVersion" to planVersion,
                    "planAgeMilliseconds" to context.clock.now().millisecondsSince(context.state.planCheckedAt),
                )
                errorWriter.write(progress.callerResponse, id, admitted.value)
            }

            is Either.Right -> {
                progress.route = admitted.value.route.name
                progress.keys = context.crashes.keysOf(admitted.value, request)
                progress.onAnswerOutlived = { context.crashes.recordAnswer(progress.keys) }
                serveAdmitted(admitted.value, request, progress, planVersion)
            }
        }
    }

    private suspend fun serveAdmitted(
        work: WorkRequest,
        request: ReceivedRequest,
        progress: DeliveryProgress,
        planVersion: Long?,
    ) {
        var error: RouterError?
        try {
            val remainingMilliseconds = work.deadline.millisecondsSince(context.clock.now()).coerceAtLeast(1)
            error = withTimeout(remainingMilliseconds) {
                context.crashes.refusalOf(work, progress.keys) ?: serveWithReservation(work, request, progress)
            }
        } catch (_: TimeoutCancellationException) {
            error = errorAtEnd(
                progress,
                mayHaveRun = RouterError(ResultCode.DEADLINE_PASSED),
                notRun = RouterError(ResultCode.DEADLINE_BEFORE_START),
            )
        } catch (_: RouterStoppingException) {
            error = errorAtEnd(
                progress,
                mayHaveRun = RouterError(ResultCode.ROUTER_STOPPED),
                notRun = RouterError(ResultCode.ROUTER_DRAINING, STOP_RETRY_AFTER_MILLISECONDS),
            )
        } catch (disconnect: CancellationException) {
            recordAdmittedEnd(work, ResultCode.CALLER_LEFT, progress, planVersion)
            throw disconnect
        }
        recordAdmittedEnd(work, error?.code ?: ResultCode.COMPLETED, progress, planVersion)
        if (error != null) writeError(progress, error)
    }

    /** Returns the error for a request that ends before it is complete, or null if its caller has an answer. */
    private fun errorAtEnd(progress: DeliveryProgress, mayHaveRun: RouterError, notRun: RouterError): RouterError? =
        when {
            progress.callerResponse.isFinished || progress.deliverFailure() -> null
            progress.mayHaveRun -> mayHaveRun
            else -> notRun
        }

    /** Sends [error] to the caller, or records that the request ends without a whole answer if one has started. */
    private fun writeError(progress: DeliveryProgress, error: RouterError) {
        if (progress.callerResponse.hasStarted) {
            context.metrics.countUnanswered(progress.route ?: NO_ROUTE, progress.stage)
        } else {
            errorWriter.write(progress.callerResponse, progress.requestId, error)
        }
    }

    /** Ends a request during which the router itself failed with [failure]. The target is not blamed. */
    private fun endWithFailure(
        request: ReceivedRequest,
        progress: DeliveryProgress,
        planVersion: Long?,
        failure: Throwable,
    ) {
        val error = if (progress.mayHaveRun) {
            RouterError(ResultCode.ROUTER_FAILED)
        } else {
            RouterError(ResultCode.ROUTER_FAILED_BEFORE_START, FAILURE_RETRY_AFTER_MILLISECONDS)
        }
        recordEnd(
            progress.requestId,
            progress.route ?: NO_ROUTE,
            error.code,
            "path" to request.path,
            "reached" to progress.stage,
            "planVersion" to planVersion,
            "planVersionAtEnd" to planVersion(),
            "cause" to failure.javaClass.name,
            "failure" to failure.stackTraceToString(),
        )
        writeError(progress, error)
    }

    private suspend fun serveWithReservation(
        work: WorkRequest,
        request: ReceivedRequest,
        progress: DeliveryProgress,
    ): RouterError? {
        val service = DestinationChoice.choose(work) ?: return RouterError(ResultCode.NO_TARGET_FREE)
        val customer = work.customer
        val tokens = work.tokens
        if (customer == null || tokens == null) return serveAttempts(work, request, progress, service)
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
                retryAfterMilliseconds(work, decision.isStoreUnreachable),
            )

            is BudgetDecision.Reserved -> decision.reservation
        }
        val meter = TokenMeter(reservation, tokens, tokensPerEvent(service))
        progress.meter = meter
        try {
            return serveAttempts(work, request, progress, service)
        } finally {
            meter.end(progress.mayHaveRun)
        }
    }

    private fun retryAfterMilliseconds(work: WorkRequest, isStoreUnreachable: Boolean): Long {
        val expected = if (isStoreUnreachable) PARTITION_RETRY_AFTER_MILLISECONDS else BUDGET_RETRY_AFTER_MILLISECONDS
        return RetryAfterPolicy.milliseconds(work, expected, opensAt = null, context.clock.now())
    }

    private fun tokensPerEvent(service: ServiceId): Int = context.state.routes?.plan?.services
        ?.get(service)?.engine?.tokensPerEvent ?: 1

    private suspend fun serveAttempts(
        work: WorkRequest,
        request: ReceivedRequest,
        progress: DeliveryProgress,
        service: ServiceId,
    ): RouterError? = TargetAttempts(context, work, request, progress, service).run()

    private fun planVersion(): Long? = context.state.routes?.plan?.version

    private fun recordAdmittedEnd(
        work: WorkRequest,
        code: ResultCode,
        progress: DeliveryProgress,
        planVersion: Long?,
    ) {
        progress.callerResponse.startedAt?.let { startedAt ->
            context.metrics.observeFirstChunk(work.route.name, startedAt.millisecondsSince(work.receivedAt))
        }
        recordEnd(
            work.id,
            work.route.name,
            code,
            "events" to progress.eventCount,
            "reached" to progress.stage,
            "planVersion" to planVersion,
            "planVersionAtEnd" to planVersion(),
        )
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

        /** The same failure may hit the request here again; a caller that returns reaches another router. */
        const val FAILURE_RETRY_AFTER_MILLISECONDS = 100L

        /** Other routers take the request at once. */
        const val STOP_RETRY_AFTER_MILLISECONDS = 50L
    }
}
