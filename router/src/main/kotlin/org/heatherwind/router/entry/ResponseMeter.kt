package org.heatherwind.router.entry

/**
 * Counts the tokens that an engine's response has used. All quantities are tokens.
 *
 * @property reservedTokens upper bound of the charge
 * @property maximumResponseTokens the most completion tokens that the engine may send
 * @property maximumPromptTokens charged for the prompt while the engine has reported no usage
 */
internal class ResponseMeter(
    private val reservedTokens: Long,
    private val maximumResponseTokens: Long,
    private val maximumPromptTokens: Long,
) {
    private var usage: EngineUsage? = null
    private var textChunks = 0L

    /**
     * The charge for the response so far, never more than was reserved. Without usage from the engine, each chunk with
     * text counts as one token.
     */
    val chargedTokens: Long
        get() = (usage?.totalTokens ?: (maximumPromptTokens + textChunks)).coerceIn(0, reservedTokens)

    /** Whether the engine sent more tokens than [maximumResponseTokens]. */
    val exceedsLimit: Boolean get() = maxOf(usage?.completionTokens ?: 0, textChunks) > maximumResponseTokens

    /** Counts [chunk]. */
    fun add(chunk: EngineEvent.Chunk) {
        if (chunk.text.isNotEmpty()) textChunks++
        chunk.usage?.let { usage = it }
    }
}
