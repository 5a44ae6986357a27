package org.heatherwind.gateway.caller

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Refuses heads whose length two readers could understand differently, which would let one request hide another. */
internal object RequestScreen {
    /** What is wrong with [head], or null. */
    fun examine(head: HttpRequest): HeadRejection? {
        val failure = head.decoderResult().cause()
        if (failure != null) return ofFailure(failure)
        val headers = head.headers()
        val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
        val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            lengths.size > 1 || (lengths.isNotEmpty() && encodings.isNotEmpty()) -> HeadRejection.AMBIGUOUS_LENGTH

            lengths.any { length ->
                length.isEmpty() || !length.all { it in '0'..'9' }
            } -> HeadRejection.AMBIGUOUS_LENGTH

            encodings.size > 1 -> HeadRejection.AMBIGUOUS_LENGTH

            encodings.any { !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(it) } -> HeadRejection.AMBIGUOUS_LENGTH

            encodings.isNotEmpty() && head.protocolVersion() != HttpVersion.HTTP_1_1 -> HeadRejection.AMBIGUOUS_LENGTH

            headers.getAll(HttpHeaderNames.HOST).size != 1 -> HeadRejection.MALFORMED

            !head.uri().startsWith("/") -> HeadRejection.MALFORMED

            else -> null
        }
    }

    private fun ofFailure(failure: Throwable): HeadRejection = when (failure) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> HeadRejection.HEADERS_TOO_LARGE
        is AmbiguousLengthException -> HeadRejection.AMBIGUOUS_LENGTH
        else -> HeadRejection.MALFORMED
    }
}

/** A head carries both a length and a transfer encoding. */
internal class AmbiguousLengthException : IllegalArgumentException("both a length and a transfer encoding")
