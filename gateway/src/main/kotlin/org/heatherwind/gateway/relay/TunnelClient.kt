package org.heatherwind.gateway.relay

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LineBasedFrameDecoder
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.ResponseDecoder
import org.heatherwind.gateway.http.SocketOptions
import org.heatherwind.gateway.http.awaitSuccess
import org.heatherwind.gateway.http.hostAndPort
import java.net.InetSocketAddress

/** The outcome of an attempt to connect to a target through another router. */
internal sealed interface TunnelResult {
    /** The [connection] leads to the target. */
    class Open(val connection: ClientConnection) : TunnelResult

    /** The other router has not connected, for the reason in [answer]. */
    data class NotOpen(val answer: TunnelAnswer) : TunnelResult

    /** The other router did not respond. */
    data object NoAnswer : TunnelResult
}

/** Connects to targets through other routers, see [RelayServer]. */
internal class TunnelClient(eventLoop: EventLoop, private val clock: MonotonicClock) {
    private val bootstrap = SocketOptions.applyTo(Bootstrap().group(eventLoop).channel(NioSocketChannel::class.java))
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)

    /** Connects to [target] through the router that listens for such requests at [relay]. */
    suspend fun connect(relay: InetSocketAddress, target: InetSocketAddress): TunnelResult {
        val answer = CompletableDeferred<TunnelAnswer?>()
        val connecting = bootstrap.clone().handler(initializer(answer)).connect(relay)
        var result: TunnelResult = TunnelResult.NoAnswer
        try {
            if (connecting.awaitSuccess()) result = ask(connecting.channel(), target, answer)
        } finally {
            if (result !is TunnelResult.Open) connecting.channel().close()
        }
        return result
    }

    private suspend fun ask(
        channel: Channel,
        target: InetSocketAddress,
        answer: CompletableDeferred<TunnelAnswer?>,
    ): TunnelResult {
        channel.writeAndFlush(Unpooled.copiedBuffer("${target.hostAndPort}\n", Charsets.UTF_8))
        val received = withTimeoutOrNull(ANSWER_TIMEOUT_MILLISECONDS) { answer.await() }
        return when {
            received == null -> TunnelResult.NoAnswer
            received != TunnelAnswer.OPEN -> TunnelResult.NotOpen(received)
            else -> TunnelResult.Open(ClientConnection(channel, clock))
        }
    }

    private fun initializer(answer: CompletableDeferred<TunnelAnswer?>) = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(LineBasedFrameDecoder(TunnelAnswer.MAXIMUM_LINE_BYTES), AnswerReader(answer))
        }
    }

    /** Reads the answer, and replaces itself by the decoders of the connection if that is open. */
    private class AnswerReader(private val answer: CompletableDeferred<TunnelAnswer?>) :
        SimpleChannelInboundHandler<ByteBuf>() {
        override fun channelRead0(context: ChannelHandlerContext, line: ByteBuf) {
            val received = TunnelAnswer.of(line.toString(Charsets.UTF_8))
            if (received == TunnelAnswer.OPEN) {
                val pipeline = context.pipeline()
                pipeline.addLast(TunnelFrames.newDecoder(), TunnelFrames.EndReader())
                pipeline.addLast(ResponseDecoder(), HttpRequestEncoder())
                pipeline.remove(this)
                pipeline.remove(LineBasedFrameDecoder::class.java)
            }
            answer.complete(received)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            answer.complete(null)
        }

        @Deprecated("deprecated in Netty's ChannelHandlerAdapter")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        /** Many times the latency between data centres; a live router accepts within some milliseconds. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 150

        /** Longer than the other router waits for the target. */
        const val ANSWER_TIMEOUT_MILLISECONDS = 350L
    }
}
