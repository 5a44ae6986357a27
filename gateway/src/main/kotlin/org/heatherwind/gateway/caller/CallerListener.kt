package org.heatherwind.gateway.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.http.TrafficCounter
import java.net.InetSocketAddress

/** Accepts connections from callers. */
internal class CallerListener(
    private val group: EventLoopGroup,
    private val shared: CallerContext,
    private val traffic: TrafficCounter,
) {
    private val connections = LinkedHashMap<Channel, CallerConnection>()
    private var serverChannel: Channel? = null

    /** Number of connections on which a request is being received, queued or served. */
    val busyCount: Int get() = connections.values.count { !it.isIdle }

    /** Number of connections accepted since the start. */
    var acceptedCount = 0L
        private set

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    /** Listens on [address] and returns it with the bound port. Throws if the address is in use. */
    fun listen(address: InetSocketAddress): InetSocketAddress {
        val bound = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = initialize(channel)
            })
            .bind(address).syncUninterruptibly().channel()
        serverChannel = bound
        return bound.localAddress() as InetSocketAddress
    }

    /** Stops accepting new connections. */
    fun stopListening() {
        serverChannel?.close()
    }

    /**
     * Number of connections that must stay open at [now]: a request is being received, queued or served, or the caller
     * has connected so recently that its request may be on the way.
     */
    fun neededCount(now: MonotonicTime): Int = connections.values.count { !it.isClosable(now) }

    /** Closes the connections that need not stay open at [now]. */
    fun closeIdle(now: MonotonicTime) {
        connections.filterValues { it.isClosable(now) }.keys.toList().forEach { it.close() }
    }

    /** Ends the requests that are being served. */
    fun endRequests() {
        connections.values.toList().forEach { it.endRequest() }
    }

    private fun initialize(channel: Channel) {
        val connection = CallerConnection(shared)
        connections[channel] = connection
        acceptedCount++
        channel.closeFuture().addListener { connections.remove(channel) }
        val decodableBytes = maxOf(MAXIMUM_DECODABLE_HEADER_BYTES, shared.limits().maximumHeaderBytes)
        val config = HttpDecoderConfig().setMaxHeaderSize(decodableBytes).setMaxInitialLineLength(decodableBytes)
        channel.pipeline().addLast(traffic, StrictRequestDecoder(config), HttpResponseEncoder(), connection)
    }

    /** Reads up to the end of what has arrived, so that a request and its caller's close are read together. */
    private fun receiveBuffers() =
        AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_TURN)

    private companion object {
        /** Limits how long one connection is read while others wait. */
        const val READS_PER_TURN = 16

        /** The decoder's limit is fixed for a connection, while the limit of the plan may change. */
        const val MAXIMUM_DECODABLE_HEADER_BYTES = 65_536

        /** Connections that may wait to be accepted while the event loop is busy. */
        const val ACCEPT_BACKLOG = 512
    }
}
