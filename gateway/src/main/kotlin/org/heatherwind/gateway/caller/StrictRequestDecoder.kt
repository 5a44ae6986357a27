package org.heatherwind.gateway.caller

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Fails on a head with both a length and a transfer encoding, where the library's decoder would drop the length. */
internal class StrictRequestDecoder(config: HttpDecoderConfig) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw AmbiguousLengthException()
}
