package org.heatherwind.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Socket options of client connections. TCP keep-alive probes detect an unreachable peer on an idle connection. */
internal object SocketOptions {
    /** Idle seconds before the first probe. */
    private const val KEEP_ALIVE_IDLE_SECONDS = 2

    private const val KEEP_ALIVE_INTERVAL_SECONDS = 1

    private const val MINIMUM_READ_BYTES = 64
    private const val INITIAL_READ_BYTES = 2_048

    /** Chunks of one byte take some milliseconds to decode at this size. */
    private const val MAXIMUM_READ_BYTES = 16_384

    /** Unacknowledged probes after which the connection is closed. */
    private const val KEEP_ALIVE_PROBES = 3

    fun <B : Bootstrap> applyTo(bootstrap: B): B {
        bootstrap.option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        return bootstrap
    }

    /** Applies the options to accepted connections. */
    fun applyTo(bootstrap: ServerBootstrap): ServerBootstrap = bootstrap
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)

    /** Bounds what one connection may take of a turn of the event loop, which all connections share. */
    private fun boundedReads() =
        AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES).maxMessagesPerRead(1)
}
