package org.heatherwind.gateway.caller

import io.netty.handler.codec.http.HttpRequest
import org.heatherwind.core.identity.Moment

/** A request that was read whole. */
internal class ReceivedRequest(
    val head: HttpRequest,
    val body: ByteArray,
    val receivedAt: Moment,
    val rejection: HeadRejection? = null,
) {
    /** The path without the query. */
    val path: String get() = head.uri().substringBefore('?')
}

/** Why a request cannot be read safely. The connection ends after the answer. */
internal enum class HeadRejection(val status: Int) {
    MALFORMED(400),
    AMBIGUOUS_LENGTH(400),
    HEADERS_TOO_LARGE(431),
    BODY_TOO_LARGE(413),
    READ_TIMEOUT(408),
    MEMORY_FULL(503),
}
