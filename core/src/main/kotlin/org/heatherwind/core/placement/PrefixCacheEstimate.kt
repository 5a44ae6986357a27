package org.heatherwind.core.placement

import org.heatherwind.core.work.PromptPart

/** Which prompt parts a target probably keeps, from what this router sent there. The least recently used go first. */
public class PrefixCacheEstimate(private val capacityTokens: Long) {
    private val kept = LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var cachedTokens = 0L

    /** Tokens of the leading [parts] that are probably kept; a part counts only if all before it are kept. */
    public fun cachedTokens(parts: List<PromptPart>): Long =
        parts.takeWhile { kept.containsKey(it.key) }.sumOf { it.tokens }

    /** Notes that the target reads [parts]. */
    public fun recordPrompt(parts: List<PromptPart>) {
        parts.forEach { part ->
            val before = kept.put(part.key, part.tokens)
            cachedTokens += part.tokens - (before ?: 0)
        }
        val oldest = kept.entries.iterator()
        while (cachedTokens > capacityTokens && oldest.hasNext()) {
            cachedTokens -= oldest.next().value
            oldest.remove()
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
