package org.heatherwind.gateway.caller

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Rejects malformed heads and ambiguous message lengths, which would allow request smuggling. */
internal object RequestValidator {
    /** Returns why [head] is rejected, or null if it is valid. Path and headers may each have [maximumBytes]. */
    fun validate(head: HttpRequest, maximumBytes: Int): RequestRejection? {
        val failure = head.decoderResult().cause()
        if (failure != null) return rejectionOf(failure)
        val headers = head.headers()
        val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
        val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            lengths.size > 1 || (lengths.isNotEmpty() && encodings.isNotEmpty()) -> RequestRejection.AMBIGUOUS_LENGTH

            lengths.any { length ->
                length.isEmpty() || !length.all { it in '0'..'9' }
            } -> RequestRejection.AMBIGUOUS_LENGTH

            encodings.size > 1 -> RequestRejection.AMBIGUOUS_LENGTH

            encodings.any { !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(it) } -> RequestRejection.AMBIGUOUS_LENGTH

            encodings.isNotEmpty() && head.protocolVersion() != HttpVersion.HTTP_1_1 ->
                RequestRejection.AMBIGUOUS_LENGTH

            headers.getAll(HttpHeaderNames.HOST).size != 1 -> RequestRejection.MALFORMED

            !head.uri().startsWith("/") -> RequestRejection.MALFORMED

            head.uri().length > maximumBytes || sizeOf(headers) > maximumBytes -> RequestRejection.HEADERS_TOO_LARGE

            else -> null
        }
    }

    private fun sizeOf(headers: HttpHeaders): Int {
        var size = 0
        val fields = headers.iteratorCharSequence()
        while (fields.hasNext()) {
            val field = fields.next()
            size += field.key.length + SEPARATOR_BYTES + field.value.length
        }
        return size
    }

    private fun rejectionOf(failure: Throwable): RequestRejection = when (failure) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> RequestRejection.HEADERS_TOO_LARGE
        is AmbiguousLengthException -> RequestRejection.AMBIGUOUS_LENGTH
        else -> RequestRejection.MALFORMED
    }

    /** A colon and a space. */
    private const val SEPARATOR_BYTES = 2
}

/** Thrown for a head with both a Content-Length and a Transfer-Encoding. */
internal class AmbiguousLengthException : IllegalArgumentException("both Content-Length and Transfer-Encoding")
