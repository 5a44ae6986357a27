package org.heatherwind.core.placement

/** How long an engine takes to read a prompt. */
public object ReadingTime {
    /**
     * Milliseconds to read the last [unreadTokens] of a prompt of [promptTokens]. Attention compares each token that is
     * read with all before it, so long prompts take more than in proportion.
     */
    public fun millisecondsOf(unreadTokens: Long, promptTokens: Long): Double {
        val pairs = unreadTokens.toDouble() * (promptTokens - unreadTokens / 2.0)
        return unreadTokens / TOKENS_PER_MILLISECOND + pairs / PAIRS_PER_MILLISECOND
    }

    /** Between the engines of the users' sheets, 62 and 101, beside their other work. */
    private const val TOKENS_PER_MILLISECOND = 70.0

    /** Between the engines of the users' site files, 2.7 and 5.4 million. */
    private const val PAIRS_PER_MILLISECOND = 3_500_000.0
}
