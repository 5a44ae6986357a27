package org.heatherwind.core.placement

/** Predicts the prefill time of prompts. */
public object PrefillTime {
    /**
     * Returns the prefill time in milliseconds of the last [uncachedTokens] of a prompt of [promptTokens]. Attention
     * relates each of these tokens to all tokens before it, so the time grows faster than the length of the prompt.
     */
    public fun millisecondsOf(uncachedTokens: Long, promptTokens: Long): Double {
        val pairs = uncachedTokens.toDouble() * (promptTokens - uncachedTokens / 2.0)
        return uncachedTokens / TOKENS_PER_MILLISECOND + pairs / PAIRS_PER_MILLISECOND
    }

    /** Prefill rates of supported engines range from 62 to 101 tokens/ms, and are lower beside other requests. */
    private const val TOKENS_PER_MILLISECOND = 70.0

    /** Attention rates of supported engines range from 2.7 to 5.4 million token pairs per millisecond. */
    private const val PAIRS_PER_MILLISECOND = 3_500_000.0
}
