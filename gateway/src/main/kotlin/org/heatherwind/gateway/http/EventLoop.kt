package org.heatherwind.gateway.http

import io.netty.channel.ChannelFuture
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/** Waits until this future is done, and answers whether it succeeded. Cancelling the wait leaves the future alone. */
internal suspend fun ChannelFuture.awaitSuccess(): Boolean = if (isDone) {
    isSuccess
} else {
    suspendCancellableCoroutine { continuation ->
        addListener { done -> if (continuation.isActive) continuation.resume(done.isSuccess) }
    }
}
