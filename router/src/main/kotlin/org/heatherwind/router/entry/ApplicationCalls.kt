package org.heatherwind.router.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import org.heatherwind.core.result.ResultCode

private const val BEARER_PREFIX = "Bearer "

/** The header with the caller's idempotency key, by which a repeated request is recognised. */
internal const val IDEMPOTENCY_HEADER = "Idempotency-Key"

/** Returns the credentials in this call's Authorization header, or the result code to respond with. */
internal fun ApplicationCall.credentials(): Either<ResultCode, CallerCredentials> {
    val header = request.header(HttpHeaders.Authorization).orEmpty()
    if (!header.startsWith(BEARER_PREFIX)) return ResultCode.KEY_MISSING.left()
    val key = header.removePrefix(BEARER_PREFIX).trim()
    val budget = RequestIdentity.budgetOf(key) ?: return ResultCode.KEY_NOT_ACCEPTED.left()
    return CallerCredentials(budget, RequestIdentity.digestOf(key)).right()
}

/** Receives the body of this call as text, or returns the result code for a body larger than [maximumBytes]. */
internal suspend fun ApplicationCall.receiveBody(maximumBytes: Int): Either<ResultCode, String> {
    if ((request.contentLength() ?: 0) > maximumBytes) return ResultCode.BODY_TOO_LARGE.left()
    val bytes = receiveChannel().readRemaining(maximumBytes + 1L).readByteArray()
    if (bytes.size > maximumBytes) return ResultCode.BODY_TOO_LARGE.left()
    return bytes.decodeToString().right()
}
