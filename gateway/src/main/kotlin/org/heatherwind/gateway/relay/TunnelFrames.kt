package org.heatherwind.gateway.relay

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import java.io.IOException

/**
 * What a target sends, in frames of a length in four bytes and as many bytes. An empty frame states that the target
 * ended its connection: without one, a relay that dies could not be told from the end of an unframed response.
 */
internal object TunnelFrames {
    private const val LENGTH_BYTES = 4
    private const val MAXIMUM_FRAME_BYTES = 1_048_576

    /** Writes [content], which it releases, as one frame. */
    fun write(channel: Channel, content: ByteBuf): ChannelFuture {
        channel.write(channel.alloc().buffer(LENGTH_BYTES).writeInt(content.readableBytes()))
        return channel.writeAndFlush(content)
    }

    /** Writes the frame that states the end. */
    fun writeEnd(channel: Channel): ChannelFuture =
        channel.writeAndFlush(channel.alloc().buffer(LENGTH_BYTES).writeInt(0))

    fun newDecoder() = LengthFieldBasedFrameDecoder(MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES)

    /** Follows the decoder. Passes on the target's end of the connection, and reports any other end as a failure. */
    class EndReader : ChannelInboundHandlerAdapter() {
        private var isEnded = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is ByteBuf && !message.isReadable) {
                message.release()
                isEnded = true
                context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
            } else {
                context.fireChannelRead(message)
            }
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event !== ChannelInputShutdownEvent.INSTANCE) {
                context.fireUserEventTriggered(event)
            } else if (!isEnded) {
                context.fireExceptionCaught(IOException("the router that relays has ended the connection"))
            }
        }
    }
}
