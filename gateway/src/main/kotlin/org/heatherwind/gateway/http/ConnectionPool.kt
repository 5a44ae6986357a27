package org.heatherwind.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler.Sharable
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.reach.ConnectFailure
import java.net.ConnectException
import java.net.InetSocketAddress

/** Opens HTTP connections and pools idle ones for reuse. Confined to one event loop. */
internal class ConnectionPool(
    private val eventLoop: EventLoop,
    private val clock: MonotonicClock,
    private val traffic: TrafficCounter = TrafficCounter(),
) {
    private val idle = HashMap<InetSocketAddress, ArrayDeque<ClientConnection>>()

    /** When bytes last arrived on a connection that was opened here. */
    var receivedAt: MonotonicTime = MonotonicTime.distantPast
        private set

    /** Connections opened since the start of the process. */
    var openedCount = 0L
        private set

    private val receiptRecorder = ReceiptRecorder()

    private val bootstrap = SocketOptions.applyTo(
        Bootstrap().group(eventLoop).channel(NioSocketChannel::class.java)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(traffic, receiptRecorder, ResponseDecoder(), HttpRequestEncoder())
                }
            }),
    )

    /** Removes and returns an idle connection to [address] last used at or after [usableSince], or returns null. */
    fun acquireIdle(address: InetSocketAddress, usableSince: MonotonicTime): ClientConnection? {
        val pooled = idle[address] ?: return null
        while (true) {
            val connection = pooled.removeLastOrNull() ?: return null
            connection.readArrivedBytes()
            val now = clock.now()
            val isUsable = connection.isOpen && connection.idleSince >= usableSince &&
                connection.idleDeadline.let { it == null || now < it }
            if (isUsable) return connection
            connection.close()
        }
    }

    /** Opens a connection to [address]. Returns null if it is not established within [timeoutMilliseconds]. */
    suspend fun connect(address: InetSocketAddress, timeoutMilliseconds: Long): ClientConnection? =
        (tryConnect(address, timeoutMilliseconds) as? ConnectResult.Established)?.connection

    /** Opens a connection to [address] within [timeoutMilliseconds], or returns why there is none. */
    suspend fun tryConnect(address: InetSocketAddress, timeoutMilliseconds: Long): ConnectResult {
        val startedAt = clock.now()
        val future = startConnect(address, timeoutMilliseconds)
        val connection = establish(future)
        val cause = future.cause()
        return when {
            connection != null ->
                ConnectResult.Established(connection, clock.now().millisecondsSince(startedAt))

            cause is ConnectTimeoutException -> ConnectResult.Failed(ConnectFailure.TimedOut(startedAt))

            else -> ConnectResult.Failed(ConnectFailure.Refused)
        }
    }

    /**
     * Returns whether the host at [address] refuses a new connection. A connection that is established within
     * [timeoutMilliseconds] is added to the pool.
     */
    suspend fun isRefused(address: InetSocketAddress, timeoutMilliseconds: Long): Boolean {
        val future = startConnect(address, timeoutMilliseconds)
        establish(future)?.let { release(it, address) }
        val cause = future.cause()
        return cause is ConnectException && cause !is ConnectTimeoutException
    }

    private fun startConnect(address: InetSocketAddress, timeoutMilliseconds: Long): ChannelFuture = bootstrap.clone()
        // Reports the end of the input, so that a reset is told from it; the connection is closed on both.
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMilliseconds.toInt().coerceAtLeast(1))
        .connect(address)

    private suspend fun establish(future: ChannelFuture): ClientConnection? {
        var isEstablished = false
        try {
            isEstablished = future.awaitSuccess()
        } finally {
            if (!isEstablished) future.channel().close()
        }
        if (!isEstablished) return null
        openedCount++
        return ClientConnection(future.channel(), clock).takeIf { it.isOpen }
    }

    /** Returns [connection] to the pool, after [ClientConnection.finish] returned true. */
    fun release(connection: ClientConnection, address: InetSocketAddress) {
        val pooled = idle.getOrPut(address) { ArrayDeque() }
        pooled.addLast(connection)
        if (pooled.size > MAXIMUM_IDLE_PER_ADDRESS) pooled.removeFirst().close()
    }

    /** Closes idle connections to [address]. */
    fun closeIdle(address: InetSocketAddress) {
        idle.remove(address)?.forEach { it.close() }
    }

    /** Closes all idle connections. */
    fun closeAllIdle() {
        idle.keys.toList().forEach { closeIdle(it) }
    }

    /** Closes idle connections that were last used before [before]. */
    fun closeUnused(before: MonotonicTime) {
        idle.values.forEach { pooled ->
            while (pooled.isNotEmpty() && (pooled.first().idleSince < before || !pooled.first().isOpen)) {
                pooled.removeFirst().close()
            }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    @Sharable
    private inner class ReceiptRecorder : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            receivedAt = clock.now()
            context.fireChannelRead(message)
        }
    }

    private companion object {
        /** More concurrent requests to one address are rare. */
        const val MAXIMUM_IDLE_PER_ADDRESS = 16
    }
}
