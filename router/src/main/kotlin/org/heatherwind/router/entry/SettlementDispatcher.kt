package org.heatherwind.router.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.identity.WallClock
import org.heatherwind.core.owner.OwnerEvent
import org.heatherwind.router.peer.OwnerClient
import org.heatherwind.router.peer.SettlementDurability
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger("settlement")

/** Sends settlements to shard owners, and retries each until it is confirmed to be in the log. */
internal class SettlementDispatcher(private val owners: OwnerClient, private val clock: WallClock) {
    private val queue = Channel<OwnerEvent.Settle>(Channel.UNLIMITED)
    private val queuedCount = AtomicInteger()

    /** The number of settlements in the retry queue, which are not yet confirmed to be in the log. */
    val queuedSettlements: Int get() = queuedCount.get()

    /**
     * Settles a request, even when the calling coroutine is cancelled because the caller disconnected. A settlement
     * that is [SettlementDurability.AT_RISK] is retried until [deadline]; one that is not yet in the log is then queued
     * for further retries. Returns whether the settlement is in the log or enough routers have queued it.
     */
    suspend fun settle(event: OwnerEvent.Settle, deadline: Timestamp): Boolean = withContext(NonCancellable) {
        var durability = owners.settle(event)
        while (durability == SettlementDurability.AT_RISK && clock.now() < deadline) {
            delay(RETRY_DELAY_MILLISECONDS)
            durability = owners.settle(event)
        }
        if (durability != SettlementDurability.RECORDED) enqueue(event)
        durability != SettlementDurability.AT_RISK
    }

    /** Retries queued settlements, one at a time, until cancelled. */
    suspend fun run() {
        for (event in queue) {
            while (owners.settle(event) != SettlementDurability.RECORDED) delay(RETRY_DELAY_MILLISECONDS)
            queuedCount.decrementAndGet()
        }
    }

    private fun enqueue(event: OwnerEvent.Settle) {
        logger.debug { "settlement: settlement of request ${event.request} is not in the log yet; queued for retry" }
        queuedCount.incrementAndGet()
        queue.trySend(event)
    }

    private companion object {
        const val RETRY_DELAY_MILLISECONDS = 500L
    }
}
