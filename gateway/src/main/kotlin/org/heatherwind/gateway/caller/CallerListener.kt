package org.heatherwind.gateway.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress

/** Accepts callers' connections. */
internal class CallerListener(private val group: EventLoopGroup, private val shared: CallerContext) {
    private val connections = LinkedHashMap<Channel, CallerConnection>()
    private var listening: Channel? = null

    /** Connections that carry a request at present. */
    val busyCount: Int get() = connections.values.count { !it.isIdle }

    /** Open connections. */
    val connectionCount: Int get() = connections.size

    /** Listens on [address]; fails where the address is taken. */
    fun listen(address: InetSocketAddress) {
        listening = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = prepare(channel)
            })
            .bind(address).syncUninterruptibly().channel()
    }

    /** Takes no new connections. */
    fun stopListening() {
        listening?.close()
    }

    /** Closes connections that carry no request. */
    fun closeIdle() {
        connections.filterValues { it.isIdle }.keys.toList().forEach { it.close() }
    }

    private fun prepare(channel: Channel) {
        val connection = CallerConnection(shared)
        connections[channel] = connection
        channel.closeFuture().addListener { connections.remove(channel) }
        val config = HttpDecoderConfig().setMaxHeaderSize(shared.limits().maximumHeaderBytes)
            .setMaxInitialLineLength(shared.limits().maximumHeaderBytes)
        channel.pipeline().addLast(StrictRequestDecoder(config), HttpResponseEncoder(), connection)
    }

    private companion object {
        /** Connections that may wait for acceptance while the processor is busy. */
        const val BACKLOG = 512
    }
}
