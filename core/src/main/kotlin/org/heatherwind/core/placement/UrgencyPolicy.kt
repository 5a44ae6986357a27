package org.heatherwind.core.placement

import org.heatherwind.core.work.WorkRequest

/** Ranks generations for engines, from 0 (first) to 9. Short prompts rank first, since they delay others least. */
public object UrgencyPolicy {
    /** Returns the rank of [work], 5 for a plain call. */
    public fun urgencyOf(work: WorkRequest): Int {
        val unsharedTokens = work.tokens?.let { it.prompt - it.sharedTokens } ?: return DEFAULT_URGENCY
        val index = MAXIMUM_UNSHARED_TOKENS_BY_RANK.indexOfFirst { unsharedTokens <= it }
        return if (index < 0) LAST_URGENCY else FIRST_URGENCY + index
    }

    /** Largest prompt of each rank from 1 to 6, in unshared tokens; doubles so as to cover short and long prompts. */
    private val MAXIMUM_UNSHARED_TOKENS_BY_RANK = listOf(500L, 1_000L, 2_000L, 4_000L, 8_000L, 16_000L)
    private const val FIRST_URGENCY = 1
    private const val LAST_URGENCY = 8
    private const val DEFAULT_URGENCY = 5
}
