package org.heatherwind.router.peer

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ForwardingClientCall
import io.grpc.ManagedChannel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.netty.NettyChannelBuilder
import org.heatherwind.protocol.peer.HomeGrpcKt
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Connections to peers by address, kept open and watched by keep-alive. */
public class PeerConnections(private val peerToken: String) : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** A client of the router that listens for peers at [address], given as host:port. */
    public fun at(address: String): HomeGrpcKt.HomeCoroutineStub =
        HomeGrpcKt.HomeCoroutineStub(channels.computeIfAbsent(address) { open(it) })

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
    }

    private fun open(address: String): ManagedChannel =
        NettyChannelBuilder.forAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
            .usePlaintext()
            .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .intercept(TokenOnCalls(peerToken))
            .build()

    private class TokenOnCalls(private val token: String) : ClientInterceptor {
        override fun <Q, A> interceptCall(
            method: MethodDescriptor<Q, A>,
            options: CallOptions,
            next: Channel,
        ): ClientCall<Q, A> =
            object : ForwardingClientCall.SimpleForwardingClientCall<Q, A>(next.newCall(method, options)) {
                override fun start(listener: Listener<A>, headers: Metadata) {
                    headers.put(PeerTokens.KEY, token)
                    super.start(listener, headers)
                }
            }
    }

    private companion object {
        const val MAXIMUM_MESSAGE_BYTES = 64 * 1_048_576
        const val KEEP_ALIVE_SECONDS = 10L
        const val KEEP_ALIVE_TIMEOUT_SECONDS = 3L
    }
}
