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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.net.InetSocketAddress

/** Answers other routers that ask for tokens. */
internal class LoanServer(
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val lend: suspend (LoanRequest) -> Long,
) {
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
            val loan = read(request.content().toString(Charsets.UTF_8))
            scope.launch { answer(context, loan) }
        }

        private suspend fun answer(context: ChannelHandlerContext, loan: LoanRequest?) {
            val status = if (loan == null) HttpResponseStatus.BAD_REQUEST else HttpResponseStatus.OK
            val answer = LoanAnswer(loan?.let { lend(it) } ?: 0)
            val body = Json.encodeToString(LoanAnswer.serializer(), answer).encodeToByteArray()
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            context.writeAndFlush(response)
        }

        private fun read(text: String): LoanRequest? = try {
            Json.decodeFromString(LoanRequest.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

        @Deprecated("declared so by Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MAXIMUM_BYTES = 4_096
    }
}
