package org.heatherwind.gateway.http

import io.netty.channel.ChannelFuture
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/** Waits for this future. Returns whether it succeeded. Cancelling the wait does not cancel the future. */
internal suspend fun ChannelFuture.awaitSuccess(): Boolean = if (isDone) {
    isSuccess
} else {
    suspendCancellableCoroutine { continuation ->
        addListener { done -> if (continuation.isActive) continuation.resume(done.isSuccess) }
    }
}
