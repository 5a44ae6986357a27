package org.heatherwind.core.placement

import org.heatherwind.core.work.WorkRequest

/** Ranks generations for engines, from 0 (first) to 9. Short prompts come first, since they delay others least. */
public object UrgencyPolicy {
    /** Returns the rank of [work], 5 for a plain call. */
    public fun urgencyOf(work: WorkRequest): Int {
        val unsharedTokens = work.tokens?.let { it.prompt - it.sharedTokens } ?: return DEFAULT_URGENCY
        val step = PROMPT_SIZE_STEPS_TOKENS.indexOfFirst { unsharedTokens <= it }
        return if (step < 0) LAST_URGENCY else FIRST_URGENCY + step
    }

    /** Largest prompt of each rank, in unshared tokens. The steps double from a short reply to a long review. */
    private val PROMPT_SIZE_STEPS_TOKENS = listOf(500L, 1_000L, 2_000L, 4_000L, 8_000L, 16_000L)
    private const val FIRST_URGENCY = 1
    private const val LAST_URGENCY = 8
    private const val DEFAULT_URGENCY = 5
}
