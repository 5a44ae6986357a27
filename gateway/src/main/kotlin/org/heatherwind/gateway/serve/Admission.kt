package org.heatherwind.gateway.serve

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.netty.handler.codec.http.HttpHeaderNames
import org.heatherwind.core.fleet.RouteTable
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.HeadRejection
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.protocol.CallerRequestHead
import org.heatherwind.gateway.state.FleetState

/** Finds a request's route and customer, and its deadline. */
internal class Admission(private val state: FleetState, private val clock: MonotonicClock) {
    fun admit(received: ReceivedRequest, head: CallerRequestHead): Either<Refusal, WorkRequest> = either {
        received.rejection?.let { raise(refusalOf(it)) }
        val table = ensureNotNull(state.routes.takeIf { state.isReady }) {
            Refusal(ResultCode.ROUTER_NOT_READY, RETRY_NOT_READY_MILLISECONDS)
        }
        val id = ensureNotNull(head.id) { Refusal(ResultCode.MALFORMED_REQUEST) }
        val host = received.head.headers()[HttpHeaderNames.HOST].substringBefore(':')
        val route = ensureNotNull(table.routeOf(host, received.path)) { unknown(ResultCode.UNKNOWN_MODEL) }
        val customer = head.apiKey?.let { table.customerOf(it) }
        ensure(route.isPublic || !hasCustomers(table) || head.apiKey != null) { Refusal(ResultCode.KEY_MISSING) }
        ensure(route.isPublic || !hasCustomers(table) || customer != null) { unknown(ResultCode.KEY_NOT_ACCEPTED) }
        val patience = minOf(head.patienceMilliseconds ?: route.timeoutMilliseconds, route.timeoutMilliseconds)
        WorkRequest(
            id = id,
            route = route,
            customer = customer,
            tokens = head.tokens,
            receivedAt = received.receivedAt,
            deadline = received.receivedAt.plusMilliseconds(patience),
        )
    }

    /** Says "unknown" only on a plan that was checked lately; an older one may lack what operators added since. */
    private fun unknown(code: ResultCode): Refusal {
        val age = clock.now().millisecondsSince(state.planCheckedAt)
        return if (age <= TRUSTED_PLAN_AGE_MILLISECONDS) {
            Refusal(code)
        } else {
            Refusal(ResultCode.CONFIGURATION_OUTDATED, RETRY_NOT_READY_MILLISECONDS)
        }
    }

    private fun hasCustomers(table: RouteTable): Boolean = table.plan.customers.isNotEmpty()

    private fun refusalOf(rejection: HeadRejection): Refusal =
        Refusal(codeOf(rejection), RETRY_SOON_MILLISECONDS.takeIf { rejection == HeadRejection.MEMORY_FULL })

    private fun codeOf(rejection: HeadRejection): ResultCode = when (rejection) {
        HeadRejection.MALFORMED, HeadRejection.AMBIGUOUS_LENGTH -> ResultCode.MALFORMED_REQUEST
        HeadRejection.HEADERS_TOO_LARGE -> ResultCode.HEADERS_TOO_LARGE
        HeadRejection.BODY_TOO_LARGE -> ResultCode.BODY_TOO_LARGE
        HeadRejection.READ_TIMEOUT -> ResultCode.REQUEST_READ_TIMEOUT
        HeadRejection.MEMORY_FULL -> ResultCode.REQUEST_MEMORY_FULL
    }

    private companion object {
        /** Several times the pause between reads of the plan. */
        const val TRUSTED_PLAN_AGE_MILLISECONDS = 1_500L

        /** Starting up and reading the plan anew take about this long. */
        const val RETRY_NOT_READY_MILLISECONDS = 500L
        const val RETRY_SOON_MILLISECONDS = 200L
    }
}
