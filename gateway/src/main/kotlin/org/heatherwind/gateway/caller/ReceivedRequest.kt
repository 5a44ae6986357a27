package org.heatherwind.gateway.caller

import io.netty.handler.codec.http.HttpRequest
import org.heatherwind.core.identity.MonotonicTime

/** A request that was read completely, or that was rejected before that, with the reason in [rejection]. */
internal class ReceivedRequest(
    val head: HttpRequest,
    val body: ByteArray,
    val receivedAt: MonotonicTime,
    val rejection: RequestRejection? = null,
) {
    /** The path without the query. */
    val path: String get() = head.uri().substringBefore('?')
}

/** Why a request is rejected before it is served. The connection is closed after the response. */
internal enum class RequestRejection {
    MALFORMED,
    AMBIGUOUS_LENGTH,
    HEADERS_TOO_LARGE,
    BODY_TOO_LARGE,
    READ_TIMEOUT,
    MEMORY_FULL,
}
