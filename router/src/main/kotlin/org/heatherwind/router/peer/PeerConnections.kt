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

/** Long-lived gRPC channels to peers by address, monitored by keep-alive pings. */
public class PeerConnections(private val peerToken: String) : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Returns a client stub for the router that listens for peers at [address], given as host:port. */
    public fun stubFor(address: String): HomeGrpcKt.HomeCoroutineStub =
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
            .intercept(PeerTokenClientInterceptor(peerToken))
            .build()

    private class PeerTokenClientInterceptor(private val token: String) : ClientInterceptor {
        override fun <Request, Response> interceptCall(
            method: MethodDescriptor<Request, Response>,
            options: CallOptions,
            next: Channel,
        ): ClientCall<Request, Response> =
            object : ForwardingClientCall.SimpleForwardingClientCall<Request, Response>(next.newCall(method, options)) {
                override fun start(listener: Listener<Response>, headers: Metadata) {
                    headers.put(PeerTokenServerInterceptor.METADATA_KEY, token)
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
