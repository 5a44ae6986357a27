package org.heatherwind.gateway.protocol

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.work.TokenDemand

/** What a caller said in the head of a request, decoded. */
public data class CallerRequestHead(
    val id: String?,
    val apiKey: String?,
    val patienceMilliseconds: Long?,
    val tokens: TokenDemand?,
)

/** What the router adds to a request that it sends to a target. */
public data class TargetInstruction(
    val target: TargetId,
    val customer: CustomerId?,
    val millisecondsLeft: Long,
    val urgency: Int?,
    val resumeAfterEvent: Long?,
)

/** A target's own word of its load. */
public data class ReportedLoad(val running: Int, val waiting: Int)

/**
 * What a target said in the head of an answer, decoded.
 *
 * @property requestId the request that the answer belongs to, or null where the target does not tell
 * @property isNotRun whether the target proved that it did not run the request
 * @property isMisdirected whether the request was meant for another target than the one at this address
 * @property isSigned whether the answer comes from the target's service and not from something before it
 */
public data class TargetResponseHead(
    val status: Int,
    val requestId: String?,
    val isNotRun: Boolean,
    val isMisdirected: Boolean,
    val isSigned: Boolean,
    val load: ReportedLoad?,
)

/** Translates between the headers on the wire and the router's own terms. */
public interface CallerProtocol {
    /** The decoded head of [request]. */
    public fun readRequest(request: HttpRequest): CallerRequestHead

    /** Headers for the target: those of [received] that pass through, and what [instruction] says. */
    public fun targetHeaders(received: HttpHeaders, instruction: TargetInstruction): HttpHeaders

    /** The decoded head of [answer]. */
    public fun readResponse(answer: HttpResponse): TargetResponseHead

    /** Headers of [received] that go on to the caller. */
    public fun callerHeaders(received: HttpHeaders): HttpHeaders

    /** Adds the name of the request with [id] to the router's own answer. */
    public fun nameRequest(headers: HttpHeaders, id: String)
}
