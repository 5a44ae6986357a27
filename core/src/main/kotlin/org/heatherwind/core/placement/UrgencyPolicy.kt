package org.heatherwind.core.placement

import org.heatherwind.core.work.WorkRequest

/**
 * Ranks generations for engines, from 0 (first) to 9: by the users' rank, and within a rank by the length of the
 * prompt, since short prompts delay others least. No request comes after one of a lower rank; only a very long prompt
 * is level with the short ones of the next rank, since it would delay many of them.
 */
public object UrgencyPolicy {
    /**
     * Returns the urgency of [work], 5 for a plain call.
     *
     * @param ranks the distinct ranks of the plan's generations; their positions count, whatever the gaps between them.
     *   If there is one at most, the whole range is used for lengths
     */
    public fun urgencyOf(work: WorkRequest, ranks: List<Int>): Int {
        val unsharedTokens = work.tokens?.let { it.prompt - it.sharedTokens } ?: return DEFAULT_URGENCY
        if (ranks.size <= 1) return FIRST_UNRANKED_URGENCY + classOf(unsharedTokens, MAXIMUM_TOKENS_BY_UNRANKED_CLASS)
        val rank = ranks.count { it < work.rank }.coerceAtMost(LAST_RANK)
        return minOf(rank * URGENCIES_PER_RANK + classOf(unsharedTokens, MAXIMUM_TOKENS_BY_CLASS), LAST_URGENCY)
    }

    private fun classOf(unsharedTokens: Long, maximumTokensByClass: List<Long>): Int =
        maximumTokensByClass.count { unsharedTokens > it }

    /**
     * Largest prompt of each class but the last, in unshared tokens. Engines read a prompt of the first class within
     * some tens of milliseconds, and one of the last class takes them longer than many requests may wait.
     */
    private val MAXIMUM_TOKENS_BY_CLASS = listOf(2_000L, 16_000L)

    /** The last class of a rank is level with the first class of the next one. */
    private const val URGENCIES_PER_RANK = 2

    /** Less urgent ranks are treated as this one; all of its lengths are level, since there are no more urgencies. */
    private const val LAST_RANK = 5
    private const val LAST_URGENCY = 9

    /** Without ranks: doubles so as to cover short and long prompts. */
    private val MAXIMUM_TOKENS_BY_UNRANKED_CLASS = listOf(500L, 1_000L, 2_000L, 4_000L, 8_000L, 16_000L)
    private const val FIRST_UNRANKED_URGENCY = 1
    private const val DEFAULT_URGENCY = 5
}
