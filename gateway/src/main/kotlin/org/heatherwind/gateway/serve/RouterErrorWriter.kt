package org.heatherwind.gateway.serve

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import org.heatherwind.gateway.caller.CallerResponseWriter
import org.heatherwind.gateway.protocol.CallerProtocol
import java.util.Locale

/** Writes error responses that the router itself generates. */
internal class RouterErrorWriter(private val protocol: CallerProtocol) {
    fun write(response: CallerResponseWriter, id: String, error: RouterError) {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        if (id.isNotEmpty()) protocol.setRequestId(headers, id)
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        error.retryAfterMilliseconds?.let {
            headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(Locale.ROOT, it / MILLISECONDS_PER_SECOND))
        }
        val code = error.code
        val body = """{"code":${code.number},"message":"${code.sentence}"}"""
        response.respond(code.httpStatus, headers, body.encodeToByteArray())
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
