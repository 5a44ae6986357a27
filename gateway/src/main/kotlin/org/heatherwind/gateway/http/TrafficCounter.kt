package org.heatherwind.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandler.Sharable
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise

/**
 * Counts the bytes that the connections of callers and targets carry, without those of TCP. The first handler of each.
 */
@Sharable
internal class TrafficCounter : ChannelDuplexHandler() {
    /** Bytes received since the start. */
    var receivedBytes = 0L
        private set

    /** Bytes sent since the start. */
    var sentBytes = 0L
        private set

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) receivedBytes += message.readableBytes()
        context.fireChannelRead(message)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is ByteBuf) sentBytes += message.readableBytes()
        context.write(message, promise)
    }
}
