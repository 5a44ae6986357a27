package org.heatherwind.gateway.relay

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LineBasedFrameDecoder
import org.heatherwind.gateway.http.SocketOptions
import org.heatherwind.gateway.http.socketAddressOf
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.ConnectException
import java.net.InetSocketAddress

/**
 * Connects other routers, which are cut off from the targets, to targets, and passes on the bytes of both sides. It
 * knows nothing of requests: their tokens, attempts and deadlines stay with the router that accepted them. A tunnel
 * leads to a target and never to another router, so that there is one hop at most.
 *
 * @param isOffered returns whether this router connects others at present
 * @param isTarget returns whether a registered target has the address
 */
internal class RelayServer(
    private val group: EventLoopGroup,
    private val log: DecisionLog,
    private val isOffered: () -> Boolean,
    private val isTarget: (InetSocketAddress) -> Boolean,
    private val onAnswer: (TunnelAnswer) -> Unit = {},
) {
    /** Tunnels that are open or being opened. */
    var tunnelCount = 0
        private set

    private val targets = SocketOptions.applyTo(Bootstrap().group(group).channel(NioSocketChannel::class.java))
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
        .option(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES),
        )
        .option(ChannelOption.AUTO_READ, false)

    /** Listens on [address] and returns it with the bound port. Throws if the address is in use. */
    fun listen(address: InetSocketAddress): InetSocketAddress =
        SocketOptions.applyTo(ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java))
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES),
            )
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(LineBasedFrameDecoder(TunnelAnswer.MAXIMUM_LINE_BYTES), Opener())
                }
            })
            .bind(address).syncUninterruptibly().channel().localAddress() as InetSocketAddress

    /** Reads the address of a target and connects to it. */
    private inner class Opener : SimpleChannelInboundHandler<ByteBuf>() {
        override fun channelRead0(context: ChannelHandlerContext, line: ByteBuf) {
            val router = context.channel()
            val address = socketAddressOf(line.toString(Charsets.UTF_8))
            if (address == null || !mayConnect(address)) return end(router, TunnelAnswer.DECLINED, address)
            router.config().isAutoRead = false
            tunnelCount++
            router.closeFuture().addListener { tunnelCount-- }
            val connecting = targets.clone().handler(TargetSide(router)).connect(address)
            router.closeFuture().addListener { connecting.channel().close() }
            connecting.addListener { connected(router, connecting, address) }
        }

        private fun mayConnect(address: InetSocketAddress): Boolean =
            tunnelCount < MAXIMUM_TUNNELS && isOffered() && isTarget(address)

        private fun connected(router: Channel, connecting: ChannelFuture, address: InetSocketAddress) {
            val cause = connecting.cause()
            when {
                connecting.isSuccess -> open(router, connecting.channel())

                cause is ConnectException && cause !is ConnectTimeoutException ->
                    end(router, TunnelAnswer.REFUSED, address)

                else -> end(router, TunnelAnswer.UNREACHED, address)
            }
        }

        private fun open(router: Channel, target: Channel) {
            onAnswer(TunnelAnswer.OPEN)
            router.pipeline().addLast(RouterSide(target))
            router.pipeline().remove(this)
            router.pipeline().remove(LineBasedFrameDecoder::class.java)
            router.writeAndFlush(Unpooled.copiedBuffer(TunnelAnswer.OPEN.line, Charsets.UTF_8))
            router.config().isAutoRead = true
            target.config().isAutoRead = true
        }

        private fun end(router: Channel, answer: TunnelAnswer, address: InetSocketAddress?) {
            onAnswer(answer)
            log.stateChange(
                "relay",
                "Did not connect another router to a target.",
                "router" to router.remoteAddress(),
                "target" to address,
                "answer" to answer,
                "tunnels" to tunnelCount,
            )
            router.writeAndFlush(Unpooled.copiedBuffer(answer.line, Charsets.UTF_8))
                .addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("deprecated in Netty's ChannelHandlerAdapter")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    /** Passes what the other router sends to the [target]. The end of that connection ends the target's. */
    private class RouterSide(private val target: Channel) : Side(target) {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            target.writeAndFlush(message)
            if (!target.isWritable) context.channel().config().isAutoRead = false
        }
    }

    /** Passes what the target sends to the [router], and how it ended. */
    private class TargetSide(private val router: Channel) : Side(router) {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            TunnelFrames.write(router, message as ByteBuf)
            if (!router.isWritable) context.channel().config().isAutoRead = false
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event === ChannelInputShutdownEvent.INSTANCE) {
                TunnelFrames.writeEnd(router).addListener(ChannelFutureListener.CLOSE)
            }
        }
    }

    /** One side of a tunnel. It is read only while the [other] side takes what it sends. */
    private abstract class Side(private val other: Channel) : ChannelInboundHandlerAdapter() {
        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            other.config().isAutoRead = context.channel().isWritable
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            other.close()
        }

        @Deprecated("deprecated in Netty's ChannelHandlerAdapter")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    companion object {
        /** Bounds the memory and the descriptors that other routers' requests take from this router's own. */
        const val MAXIMUM_TUNNELS = 400

        /** Many times the latency between data centres. */
        private const val CONNECT_TIMEOUT_MILLISECONDS = 250
        private const val LOW_WATER_MARK_BYTES = 16_384
        private const val HIGH_WATER_MARK_BYTES = 32_768
    }
}
