package org.heatherwind.core.placement

import org.heatherwind.core.work.PromptPart

/** Which prompt parts a target probably keeps, from what this router sent there. The least recently used go first. */
public class PrefixMemory(private val capacityTokens: Long) {
    private val kept = LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var keptTokens = 0L

    /** Tokens of the leading [parts] that are probably kept; a part counts only if all before it are kept. */
    public fun keptTokens(parts: List<PromptPart>): Long =
        parts.takeWhile { kept.containsKey(it.key) }.sumOf { it.tokens }

    /** Notes that the target reads [parts]. */
    public fun remember(parts: List<PromptPart>) {
        parts.forEach { part ->
            val before = kept.put(part.key, part.tokens)
            keptTokens += part.tokens - (before ?: 0)
        }
        val oldest = kept.entries.iterator()
        while (keptTokens > capacityTokens && oldest.hasNext()) {
            keptTokens -= oldest.next().value
            oldest.remove()
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
