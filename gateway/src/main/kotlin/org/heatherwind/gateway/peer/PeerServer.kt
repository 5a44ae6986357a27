package org.heatherwind.gateway.peer

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
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
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.net.InetSocketAddress

/** A call that other routers may make. */
internal class PeerCall<Q, A>(
    val path: String,
    private val question: KSerializer<Q>,
    private val answer: KSerializer<A>,
    private val handle: (Q) -> A,
) {
    /** The answer to [text], or null where it cannot be read. */
    fun answerTo(text: String): String? {
        val read = try {
            Json.decodeFromString(question, text)
        } catch (_: SerializationException) {
            return null
        }
        return Json.encodeToString(answer, handle(read))
    }
}

/** Answers the [calls] of other routers. */
internal class PeerServer(private val group: EventLoopGroup, calls: List<PeerCall<*, *>>) {
    private val callsByPath = calls.associateBy { it.path }

    /** Listens on [address]; fails where the address is taken. */
    fun listen(address: InetSocketAddress) {
        ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAXIMUM_BYTES), Responder())
                }
            })
            .bind(address).syncUninterruptibly()
    }

    private inner class Responder : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val answer = callsByPath[request.uri()]?.answerTo(request.content().toString(Charsets.UTF_8))
            val status = if (answer == null) HttpResponseStatus.BAD_REQUEST else HttpResponseStatus.OK
            val body = answer.orEmpty().encodeToByteArray()
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            context.writeAndFlush(response)
        }

        @Deprecated("declared so by Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        /** A report of some hundred customers. */
        const val MAXIMUM_BYTES = 65_536
    }
}
