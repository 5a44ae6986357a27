package org.heatherwind.router.peer

import com.google.common.hash.Hashing
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.Status
import java.security.MessageDigest
import kotlin.text.Charsets.UTF_8

/** Rejects calls of peers without the fleet's token. The comparison takes constant time. */
internal class PeerTokenServerInterceptor(private val expected: String) : ServerInterceptor {
    override fun <Request, Response> interceptCall(
        call: ServerCall<Request, Response>,
        headers: Metadata,
        next: ServerCallHandler<Request, Response>,
    ): ServerCall.Listener<Request> {
        val received = headers.get(METADATA_KEY).orEmpty()
        if (areEqual(received, expected)) return next.startCall(call, headers)
        call.close(Status.UNAUTHENTICATED.withDescription("the peer token is missing or wrong"), Metadata())
        return object : ServerCall.Listener<Request>() {}
    }

    private fun areEqual(received: String, expected: String): Boolean =
        MessageDigest.isEqual(digestOf(received), digestOf(expected))

    private fun digestOf(text: String): ByteArray = Hashing.sha256().hashString(text, UTF_8).asBytes()

    companion object {
        val METADATA_KEY: Metadata.Key<String> =
            Metadata.Key.of("heatherwind-peer-token", Metadata.ASCII_STRING_MARSHALLER)
    }
}
