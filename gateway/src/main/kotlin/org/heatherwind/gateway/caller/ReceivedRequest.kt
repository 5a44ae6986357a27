package org.heatherwind.gateway.caller

import io.netty.handler.codec.http.HttpRequest
import org.heatherwind.core.identity.MonotonicTime

/** A request that was read whole. */
internal class ReceivedRequest(
    val head: HttpRequest,
    val body: ByteArray,
    val receivedAt: MonotonicTime,
    val rejection: HeadRejection? = null,
) {
    /** The path without the query. */
    val path: String get() = head.uri().substringBefore('?')
}

/** Why a request cannot be read safely. The connection ends after the answer. */
internal enum class HeadRejection {
    MALFORMED,
    AMBIGUOUS_LENGTH,
    HEADERS_TOO_LARGE,
    BODY_TOO_LARGE,
    READ_TIMEOUT,
    MEMORY_FULL,
}
