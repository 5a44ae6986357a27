package org.heatherwind.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress

/** Serves short requests (readiness, metrics, calls of other routers) with [respondTo], which must not block. */
internal class SimpleHttpListener(
    private val group: EventLoopGroup,
    private val respondTo: (FullHttpRequest) -> SimpleResponse,
) {
    /** Listens on [address] and returns it with the bound port. Throws if the address is in use. */
    fun listen(address: InetSocketAddress): InetSocketAddress {
        val bound = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(
                        HttpServerCodec(),
                        HttpObjectAggregator(MAXIMUM_REQUEST_BYTES),
                        Responder(),
                    )
                }
            })
            .bind(address).syncUninterruptibly().channel()
        return bound.localAddress() as InetSocketAddress
    }

    private inner class Responder : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val response = respondTo(request)
            val message = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status),
                Unpooled.wrappedBuffer(response.body),
            )
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body.size)
            val written = context.writeAndFlush(message)
            if (!HttpUtil.isKeepAlive(request)) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("deprecated in Netty's ChannelHandlerAdapter")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        /** Sufficient for a call that lists several hundred customers. */
        const val MAXIMUM_REQUEST_BYTES = 65_536
    }
}
