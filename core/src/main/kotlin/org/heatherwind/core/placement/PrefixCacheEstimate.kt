package org.heatherwind.core.placement

import org.heatherwind.core.work.PromptPart

/**
 * Estimate of the prompt parts in a target's prefix cache, from the prompts that were sent there. The least recently
 * used parts are evicted first when more than [capacityTokens] are cached.
 */
public class PrefixCacheEstimate(private val capacityTokens: Long) {
    private val tokensByKey = LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var cachedTokens = 0L

    /** Returns the tokens of the leading [parts] that are probably cached, up to the first part that is not. */
    public fun cachedTokens(parts: List<PromptPart>): Long =
        parts.takeWhile { tokensByKey.containsKey(it.key) }.sumOf { it.tokens }

    /** Records that a prompt of [parts] was sent to the target. */
    public fun recordPrompt(parts: List<PromptPart>) {
        parts.forEach { part ->
            val previousTokens = tokensByKey.put(part.key, part.tokens)
            cachedTokens += part.tokens - (previousTokens ?: 0)
        }
        val leastRecentlyUsed = tokensByKey.entries.iterator()
        while (cachedTokens > capacityTokens && leastRecentlyUsed.hasNext()) {
            cachedTokens -= leastRecentlyUsed.next().value
            leastRecentlyUsed.remove()
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
