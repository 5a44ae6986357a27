package org.heatherwind.core.escrow

import org.heatherwind.core.identity.MonotonicTime

/**
 * What a router may charge to a budget before its next confirmed report. If the router fails, it cannot have charged
 * more than this, so the rest of its grant is free.
 *
 * A short gap in the reports may mean that the router failed, and a long gap means that the store is unreachable. So
 * the ceiling does not grow at first, and follows the demand later. If the router fails in a long gap, the customer
 * loses only what the ceiling grew beyond the actual demand.
 *
 * @property tokens limit on charged and reserved tokens while the store responds
 * @property growthPerSecond tokens requested per second when the ceiling was set
 * @property releaseTokens tokens added at once after [RELEASE_MILLISECONDS], for requests that waited for them
 */
public data class SpendCeiling(val tokens: Long, val growthPerSecond: Long, val releaseTokens: Long) {
    /** Returns the ceiling in tokens, [elapsedMilliseconds] after the store last confirmed it. */
    public fun tokensAfter(elapsedMilliseconds: Long): Long = when {
        elapsedMilliseconds < GRACE_MILLISECONDS -> tokens

        elapsedMilliseconds < RELEASE_MILLISECONDS ->
            tokens + growth(elapsedMilliseconds - GRACE_MILLISECONDS, GROWTH_SHARE_BEFORE_RELEASE)

        else ->
            tokens + releaseTokens +
                growth(RELEASE_MILLISECONDS - GRACE_MILLISECONDS, GROWTH_SHARE_BEFORE_RELEASE) +
                growth(elapsedMilliseconds - RELEASE_MILLISECONDS, GROWTH_SHARE_AFTER_RELEASE)
    }

    /**
     * Returns the highest ceiling in tokens that a witness may confirm, [elapsedMilliseconds] after the store last
     * confirmed this ceiling. It bounds the customer's loss if the witness fails too.
     */
    public fun witnessedTokensAfter(elapsedMilliseconds: Long): Long =
        tokens + releaseTokens * WITNESSED_RELEASE_FACTOR + growth(elapsedMilliseconds, WITNESSED_GROWTH_SHARE)

    private fun growth(milliseconds: Long, demandShare: Double): Long =
        (growthPerSecond * demandShare * milliseconds / MILLISECONDS_PER_SECOND).toLong()

    public companion object {
        /** Two report intervals and the time for a response. */
        public const val GRACE_MILLISECONDS: Long = 700

        /** An instance that lost power usually reports again by then; longer gaps mean an unreachable store. */
        public const val RELEASE_MILLISECONDS: Long = 1_700

        /** After this time without a confirmation by the store, a router has its ceilings confirmed by a witness. */
        public const val WITNESS_MILLISECONDS: Long = 2_600

        /** Allows the demand to rise by a half; a larger share would lose more tokens if the witness fails too. */
        private const val WITNESSED_GROWTH_SHARE = 1.5

        /** Allows a few large requests in addition to the demand. */
        private const val WITNESSED_RELEASE_FACTOR = 5

        /** Share of the demand that is served before the release, when the router may still have failed. */
        private const val GROWTH_SHARE_BEFORE_RELEASE = 0.5

        /** Allows the demand to rise by a quarter while the store is unreachable. */
        private const val GROWTH_SHARE_AFTER_RELEASE = 1.25
        private const val MILLISECONDS_PER_SECOND = 1_000
    }
}

/** A ceiling with the time at which the call that carried it to the store was sent. */
internal class SentCeiling(private val ceiling: SpendCeiling, private val sentAt: MonotonicTime) {
    fun tokensAt(now: MonotonicTime): Long = ceiling.tokensAfter(now.millisecondsSince(sentAt))

    fun witnessedTokensAt(now: MonotonicTime): Long = ceiling.witnessedTokensAfter(now.millisecondsSince(sentAt))

    val tokens: Long get() = ceiling.tokens
}
