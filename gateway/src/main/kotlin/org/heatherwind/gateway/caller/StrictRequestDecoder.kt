package org.heatherwind.gateway.caller

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Rejects a head with both a Content-Length and a Transfer-Encoding; Netty's decoder would drop the length. */
internal class StrictRequestDecoder(config: HttpDecoderConfig) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw AmbiguousLengthException()
}
