package org.heatherwind.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Decodes the responses to one request at a time, and knows whether bytes of a further response have arrived. */
internal class ResponseDecoder(
    config: HttpDecoderConfig = HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES),
) : HttpResponseDecoder(config) {
    private var isWithinResponse = false

    /** The method of the current request; responses to HEAD have no body, whatever their headers state. */
    var requestMethod: HttpMethod = HttpMethod.GET

    /** Whether bytes follow the last complete response. */
    val hasFurtherBytes: Boolean get() = isWithinResponse || actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val readableBefore = buffer.readableBytes()
        val decodedBefore = out.size
        super.decode(context, buffer, out)
        if (out.size > decodedBefore) {
            isWithinResponse = out.last() !is LastHttpContent
        } else if (buffer.readableBytes() < readableBefore) {
            isWithinResponse = true
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        requestMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        /** A head takes about ten times its size in memory while it is decoded. */
        const val MAXIMUM_HEADER_BYTES = 16_384
    }
}
