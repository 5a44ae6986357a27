package org.heatherwind.router.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.heatherwind.core.home.HomeEvent
import org.heatherwind.router.peer.HomeClient
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger("settlement")

/** Brings settlements to a home, and keeps each until it is known to be in the log. */
internal class SettlementKeeper(private val homes: HomeClient) {
    private val queue = Channel<HomeEvent.Settle>(Channel.UNLIMITED)
    private val kept = AtomicInteger()

    /** Settlements that are not known to be in the log. */
    val waiting: Int get() = kept.get()

    /** Settles now if a home can be reached, and later otherwise; also when the caller's coroutine is cancelled. */
    suspend fun settle(event: HomeEvent.Settle) {
        withContext(NonCancellable) {
            if (!homes.settle(event)) keep(event)
        }
    }

    /** Retries what is kept, until cancelled. */
    suspend fun run() {
        for (event in queue) {
            while (!homes.settle(event)) delay(RETRY_MILLISECONDS)
            kept.decrementAndGet()
        }
    }

    private fun keep(event: HomeEvent.Settle) {
        logger.debug { "settlement: the settlement of ${event.request} is not in the log yet; it is kept" }
        kept.incrementAndGet()
        queue.trySend(event)
    }

    private companion object {
        const val RETRY_MILLISECONDS = 500L
    }
}
