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

/** Brings settlements to a home, and keeps each until it is known to be in the log. */
internal class SettlementKeeper(private val owners: OwnerClient, private val clock: WallClock) {
    private val queue = Channel<OwnerEvent.Settle>(Channel.UNLIMITED)
    private val kept = AtomicInteger()

    /** Settlements that are not known to be in the log. */
    val waiting: Int get() = kept.get()

    /**
     * Settles, also when the caller's coroutine is cancelled. Returns whether the settlement is safe; one that is not
     * is tried again until [deadline], and kept after it.
     */
    suspend fun settle(event: OwnerEvent.Settle, deadline: Timestamp): Boolean = withContext(NonCancellable) {
        var durability = owners.settle(event)
        while (durability == SettlementDurability.AT_RISK && clock.now() < deadline) {
            delay(RETRY_DELAY_MILLISECONDS)
            durability = owners.settle(event)
        }
        if (durability != SettlementDurability.RECORDED) keep(event)
        durability != SettlementDurability.AT_RISK
    }

    /** Retries what is kept, until cancelled. */
    suspend fun run() {
        for (event in queue) {
            while (owners.settle(event) != SettlementDurability.RECORDED) delay(RETRY_DELAY_MILLISECONDS)
            kept.decrementAndGet()
        }
    }

    private fun keep(event: OwnerEvent.Settle) {
        logger.debug { "settlement: the settlement of ${event.request} is not in the log yet; it is kept" }
        kept.incrementAndGet()
        queue.trySend(event)
    }

    private companion object {
        const val RETRY_DELAY_MILLISECONDS = 500L
    }
}
