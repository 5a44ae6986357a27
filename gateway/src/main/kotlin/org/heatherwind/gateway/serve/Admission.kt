package org.heatherwind.gateway.serve

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.netty.handler.codec.http.HttpHeaderNames
import org.heatherwind.core.fleet.RouteTable
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.caller.RequestRejection
import org.heatherwind.gateway.protocol.CallerRequestHead
import org.heatherwind.gateway.state.FleetState

/**
 * Determines a request's route, customer and deadline, or the error with which it is rejected.
 *
 * @param stopDeadline returns when the requests in progress are ended, or null while the router takes new ones
 * @param overload returns the error for a request that has just arrived, or null if this router serves it
 */
internal class Admission(
    private val state: FleetState,
    private val clock: MonotonicClock,
    private val stopDeadline: () -> MonotonicTime?,
    private val overload: () -> RouterError?,
) {
    fun admit(received: ReceivedRequest, head: CallerRequestHead): Either<RouterError, WorkRequest> = either {
        received.rejection?.let { raise(errorOf(it)) }
        val table = ensureNotNull(state.routes.takeIf { state.isReady }) {
            RouterError(ResultCode.ROUTER_NOT_READY, NOT_READY_RETRY_AFTER_MILLISECONDS)
        }
        val id = ensureNotNull(head.id) { RouterError(ResultCode.MALFORMED_REQUEST) }
        val host = received.head.headers()[HttpHeaderNames.HOST].substringBefore(':')
        val route = ensureNotNull(table.routeOf(host, received.path)) { unknownError(ResultCode.UNKNOWN_MODEL) }
        val customer = head.apiKey?.let { table.customerOf(it) }
        ensure(route.isPublic || !hasCustomers(table) || head.apiKey != null) { RouterError(ResultCode.KEY_MISSING) }
        ensure(route.isPublic || !hasCustomers(table) || customer != null) { unknownError(ResultCode.KEY_NOT_ACCEPTED) }
        ensure(!head.hasInvalidTokens) { RouterError(ResultCode.TOKEN_COUNT_OUT_OF_RANGE) }
        val timeout = minOf(head.timeoutMilliseconds ?: route.timeoutMilliseconds, route.timeoutMilliseconds)
        val deadline = received.receivedAt.plusMilliseconds(timeout)
        ensure(stopDeadline().let { it == null || deadline <= it }) {
            RouterError(ResultCode.ROUTER_DRAINING, DRAINING_RETRY_AFTER_MILLISECONDS)
        }
        overload()?.let { raise(it) }
        WorkRequest(
            id = id,
            route = route,
            customer = customer,
            tokens = head.tokens,
            receivedAt = received.receivedAt,
            deadline = deadline,
        )
    }

    /** Returns an error with [code] only if the plan was checked recently; an older plan may lack newer entries. */
    private fun unknownError(code: ResultCode): RouterError {
        val age = clock.now().millisecondsSince(state.planCheckedAt)
        return if (age <= MAXIMUM_PLAN_AGE_MILLISECONDS) {
            RouterError(code)
        } else {
            RouterError(ResultCode.CONFIGURATION_OUTDATED, NOT_READY_RETRY_AFTER_MILLISECONDS)
        }
    }

    private fun hasCustomers(table: RouteTable): Boolean = table.plan.customers.isNotEmpty()

    private fun errorOf(rejection: RequestRejection): RouterError = RouterError(
        codeOf(rejection),
        MEMORY_RETRY_AFTER_MILLISECONDS.takeIf { rejection == RequestRejection.MEMORY_FULL },
    )

    private fun codeOf(rejection: RequestRejection): ResultCode = when (rejection) {
        RequestRejection.MALFORMED, RequestRejection.AMBIGUOUS_LENGTH -> ResultCode.MALFORMED_REQUEST
        RequestRejection.HEADERS_TOO_LARGE -> ResultCode.HEADERS_TOO_LARGE
        RequestRejection.BODY_TOO_LARGE -> ResultCode.BODY_TOO_LARGE
        RequestRejection.READ_TIMEOUT -> ResultCode.REQUEST_READ_TIMEOUT
        RequestRejection.MEMORY_FULL -> ResultCode.REQUEST_MEMORY_FULL
    }

    private companion object {
        /** Exceeds the time between two reads of the plan. */
        const val MAXIMUM_PLAN_AGE_MILLISECONDS = 1_500L

        /** Start-up and a new read of the plan take about this long. */
        const val NOT_READY_RETRY_AFTER_MILLISECONDS = 500L

        /** Other routers take the request at once. */
        const val DRAINING_RETRY_AFTER_MILLISECONDS = 50L
        const val MEMORY_RETRY_AFTER_MILLISECONDS = 200L
    }
}
