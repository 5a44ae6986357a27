package org.heatherwind.core.placement

/** How long an engine takes to read a prompt. */
public object PrefillTime {
    /**
     * Milliseconds to read the last [uncachedTokens] of a prompt of [promptTokens]. Attention compares each token that
     * is read with all before it, so long prompts take more than in proportion.
     */
    public fun millisecondsOf(uncachedTokens: Long, promptTokens: Long): Double {
        val pairs = uncachedTokens.toDouble() * (promptTokens - uncachedTokens / 2.0)
        return uncachedTokens / TOKENS_PER_MILLISECOND + pairs / PAIRS_PER_MILLISECOND
    }

    /** Between the engines of the users' sheets, 62 and 101, beside their other work. */
    private const val TOKENS_PER_MILLISECOND = 70.0

    /** Between the engines of the users' site files, 2.7 and 5.4 million. */
    private const val PAIRS_PER_MILLISECOND = 3_500_000.0
}
