package org.heatherwind.core.escrow

import org.heatherwind.core.identity.Moment

/**
 * How far a router may charge a budget before it must tell the store again, as the store last confirmed it. After the
 * router died, no more than this can have been charged, so the rest of its grant is free.
 *
 * @property tokens charged and reserved tokens may reach this while the store is in reach
 * @property tokensPerSecond growth of the ceiling while the store is out of reach
 */
public data class SpendCeiling(val tokens: Long, val tokensPerSecond: Long) {
    /** The ceiling when the store last confirmed it [elapsedMilliseconds] ago; in the end only the grant bounds it. */
    public fun after(elapsedMilliseconds: Long): Long {
        if (elapsedMilliseconds >= RELEASE_MILLISECONDS) return UNBOUNDED
        val outside = (elapsedMilliseconds - GRACE_MILLISECONDS).coerceAtLeast(0)
        return tokens + tokensPerSecond * outside / MILLISECONDS_PER_SECOND
    }

    public companion object {
        /** Two reports and the time for an answer. */
        public const val GRACE_MILLISECONDS: Long = 700

        /** An instance that lost power is mostly back before this, so that a longer silence means a lost store. */
        public const val RELEASE_MILLISECONDS: Long = 1_700

        private const val UNBOUNDED = Long.MAX_VALUE / 2

        private const val MILLISECONDS_PER_SECOND = 1_000
    }
}

/** A ceiling with the moment at which the call that confirmed it was sent. */
internal class ConfirmedCeiling(private val ceiling: SpendCeiling, private val sentAt: Moment) {
    fun at(now: Moment): Long = ceiling.after(now.millisecondsSince(sentAt))

    val tokens: Long get() = ceiling.tokens
}
