package org.heatherwind.router.peer

import com.google.common.hash.Hashing
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.Status
import java.security.MessageDigest
import kotlin.text.Charsets.UTF_8

/** Refuses calls of peers that do not show the fleet's token. */
internal class PeerTokens(private val expected: String) : ServerInterceptor {
    override fun <Q, A> interceptCall(
        call: ServerCall<Q, A>,
        headers: Metadata,
        next: ServerCallHandler<Q, A>,
    ): ServerCall.Listener<Q> {
        val shown = headers.get(KEY).orEmpty()
        if (isSame(shown, expected)) return next.startCall(call, headers)
        call.close(Status.UNAUTHENTICATED.withDescription("the peer token is missing or wrong"), Metadata())
        return object : ServerCall.Listener<Q>() {}
    }

    private fun isSame(shown: String, expected: String): Boolean =
        MessageDigest.isEqual(digestOf(shown), digestOf(expected))

    private fun digestOf(text: String): ByteArray = Hashing.sha256().hashString(text, UTF_8).asBytes()

    companion object {
        val KEY: Metadata.Key<String> = Metadata.Key.of("heatherwind-peer-token", Metadata.ASCII_STRING_MARSHALLER)
    }
}
