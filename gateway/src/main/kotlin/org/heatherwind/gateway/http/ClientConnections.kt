package org.heatherwind.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import java.net.InetSocketAddress

/** Opens connections and keeps idle ones for reuse. Confined to one event loop. */
internal class ClientConnections(private val eventLoop: EventLoop, private val clock: MonotonicClock) {
    private val idle = HashMap<InetSocketAddress, ArrayDeque<ClientConnection>>()

    /** Connections opened since the start of the process. */
    var openedCount = 0L
        private set

    private val bootstrap = SocketOptions.applyTo(
        Bootstrap().group(eventLoop).channel(NioSocketChannel::class.java)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(HttpClientCodec(decoderConfig(), false, false))
                }
            }),
    )

    /** An idle connection to [address] that was used at [usableSince] or later, or null. */
    fun reuse(address: InetSocketAddress, usableSince: MonotonicTime): ClientConnection? {
        val waiting = idle[address] ?: return null
        while (true) {
            val connection = waiting.removeLastOrNull() ?: return null
            val now = clock.now()
            val isUsable = connection.isOpen && connection.idleSince >= usableSince &&
                connection.idleLimit.let { it == null || now < it }
            if (isUsable) return connection
            connection.close()
        }
    }

    /** A new connection to [address], or null when none was established within [timeoutMilliseconds]. */
    suspend fun open(address: InetSocketAddress, timeoutMilliseconds: Long): ClientConnection? {
        val future = bootstrap.clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMilliseconds.toInt().coerceAtLeast(1))
            .connect(address)
        var isEstablished = false
        try {
            isEstablished = future.awaitSuccess()
        } finally {
            if (!isEstablished) future.channel().close()
        }
        if (!isEstablished) return null
        openedCount++
        return ClientConnection(future.channel(), clock)
    }

    /** Gives back [connection] after [ClientConnection.finish] allowed another request. */
    fun release(connection: ClientConnection, address: InetSocketAddress) {
        val waiting = idle.getOrPut(address) { ArrayDeque() }
        waiting.addLast(connection)
        if (waiting.size > MAXIMUM_IDLE) waiting.removeFirst().close()
    }

    /** Closes idle connections to [address]. */
    fun forget(address: InetSocketAddress) {
        idle.remove(address)?.forEach { it.close() }
    }

    /** Closes idle connections that were not used since [before]. */
    fun closeUnused(before: MonotonicTime) {
        idle.values.forEach { waiting ->
            while (waiting.isNotEmpty() && (waiting.first().idleSince < before || !waiting.first().isOpen)) {
                waiting.removeFirst().close()
            }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    private fun decoderConfig() = HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES)

    private companion object {
        const val MAXIMUM_HEADER_BYTES = 65_536

        /** Idle connections kept to one address; more open requests than this at once are rare. */
        const val MAXIMUM_IDLE = 16
    }
}
