package org.heatherwind.gateway.protocol

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.work.TokenDemand

/**
 * The decoded fields of a caller's request head; null where a header is missing or invalid.
 *
 * @property hasInvalidTokens whether the request states token counts that are out of range or no numbers
 */
public data class CallerRequestHead(
    val id: String?,
    val apiKey: String?,
    val timeoutMilliseconds: Long?,
    val tokens: TokenDemand?,
    val hasInvalidTokens: Boolean = false,
)

/** The fields that the router adds to a request that it sends to a target. */
public data class TargetInstruction(
    val target: TargetId,
    val customer: CustomerId?,
    val remainingMilliseconds: Long,
    val urgency: Int?,
    val resumeAfterEvent: Long?,
)

/**
 * A target's report on its load.
 *
 * @property running requests that it runs
 * @property waiting requests that wait for a slot
 * @property slots requests that it runs concurrently, or null if it does not state them
 * @property slowdown factor by which work takes longer than usual at the moment, or null if it does not state it
 */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int? = null,
    val slowdown: Double? = null,
)

/**
 * The decoded fields of a target's response head.
 *
 * @property requestId the request that the response belongs to, or null if the head has no request ID
 * @property isNotRun whether the target stated that it did not run the request
 * @property isMisdirected whether the request was intended for a target other than the one at this address
 * @property isSigned whether the response comes from the target's service and not from an intermediary
 * @property hasInvalidLoad whether the target's load report has a figure that can't be used
 * @property isLeaving whether the target announces that it leaves
 * @property retryAfterSeconds how long the target wants no further requests, not a number if it is malformed, or null
 * @property brittleRefusals refusals per second above which the target falls over, negative if malformed, or null
 * @property coldMilliseconds how much longer the target stays cold, negative if it is malformed, or null
 */
public data class TargetResponseHead(
    val status: Int,
    val requestId: String?,
    val isNotRun: Boolean,
    val isMisdirected: Boolean,
    val isSigned: Boolean,
    val load: ReportedLoad?,
    val hasInvalidLoad: Boolean = false,
    val isLeaving: Boolean = false,
    val retryAfterSeconds: Double? = null,
    val coldMilliseconds: Long? = null,
    val brittleRefusals: Long? = null,
)

/** Translates between HTTP headers and the router's own types. */
public interface CallerProtocol {
    /** Decodes the head of [request]. */
    public fun readRequest(request: HttpRequest): CallerRequestHead

    /** Returns the headers for the target: the end-to-end headers of [received] and those set by [instruction]. */
    public fun targetHeaders(received: HttpHeaders, instruction: TargetInstruction): HttpHeaders

    /** Decodes the head of [response]. */
    public fun readResponse(response: HttpResponse): TargetResponseHead

    /** Returns the headers of [received] that are forwarded to the caller. */
    public fun callerHeaders(received: HttpHeaders): HttpHeaders

    /** Sets the request [id] in the [headers] of a response that the router itself generates. */
    public fun setRequestId(headers: HttpHeaders, id: String)
}
