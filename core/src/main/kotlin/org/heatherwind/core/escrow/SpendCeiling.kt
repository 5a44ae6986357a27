package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime

/**
 * How far a router may charge a budget before it must tell the store again, as the store last confirmed it. After the
 * router died, no more than this can have been charged, so the rest of its grant is free.
 *
 * A silence that is short is mostly a death, and a longer one mostly a lost store, so the ceiling hardly grows at first
 * and follows the demand later.
 *
 * @property tokens charged and reserved tokens may reach this while the store is in reach
 * @property growthPerSecond tokens asked for per second when the ceiling was set, 0 where the ceiling must not grow
 * @property releaseTokens tokens that a longer silence allows at once, for requests that waited for it
 */
public data class SpendCeiling(val tokens: Long, val growthPerSecond: Long, val releaseTokens: Long) {
    /** The ceiling when the store last confirmed it [elapsedMilliseconds] ago. */
    public fun after(elapsedMilliseconds: Long): Long = when {
        elapsedMilliseconds < GRACE_MILLISECONDS -> tokens

        elapsedMilliseconds < RELEASE_MILLISECONDS ->
            tokens + grown(elapsedMilliseconds - GRACE_MILLISECONDS, CAUTIOUS_SHARE)

        else -> tokens + releaseTokens + grown(RELEASE_MILLISECONDS - GRACE_MILLISECONDS, CAUTIOUS_SHARE) +
            grown(elapsedMilliseconds - RELEASE_MILLISECONDS, RELEASED_SHARE)
    }

    /**
     * The most that may be charged with a witness's word when the store last confirmed this ceiling
     * [elapsedMilliseconds] ago. It bounds what is lost where the witness is gone too.
     */
    public fun witnessedAfter(elapsedMilliseconds: Long): Long =
        tokens + releaseTokens * WITNESSED_RELEASES + grown(elapsedMilliseconds, WITNESSED_SHARE)

    private fun grown(milliseconds: Long, share: Double): Long =
        (growthPerSecond * share * milliseconds / MILLISECONDS_PER_SECOND).toLong()

    public companion object {
        /** Two reports and the time for an answer. */
        public const val GRACE_MILLISECONDS: Long = 700

        /** An instance that lost power is mostly back before this, so that a longer silence means a lost store. */
        public const val RELEASE_MILLISECONDS: Long = 1_700

        /** After a silence of this length a router has its ceilings confirmed by a witness in place of the store. */
        public const val WITNESS_MILLISECONDS: Long = 2_600

        /** Demand may rise by a half meanwhile; a larger part would be lost where the witness dies too. */
        private const val WITNESSED_SHARE = 1.5

        /** Room for a few large requests beside the demand. */
        private const val WITNESSED_RELEASES = 5

        /** Part of the demand that is served before the release. */
        private const val CAUTIOUS_SHARE = 0.25

        /** Demand may rise by a quarter while the store is out of reach. */
        private const val RELEASED_SHARE = 1.25
        private const val MILLISECONDS_PER_SECOND = 1_000
    }
}

/** A ceiling with the moment at which the call that confirmed it was sent. */
internal class ConfirmedCeiling(private val ceiling: SpendCeiling, private val sentAt: MonotonicTime) {
    fun at(now: MonotonicTime): Long = ceiling.after(now.millisecondsSince(sentAt))

    fun witnessedAt(now: MonotonicTime): Long = ceiling.witnessedAfter(now.millisecondsSince(sentAt))

    val tokens: Long get() = ceiling.tokens
}
