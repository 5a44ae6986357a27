package org.heatherwind.gateway.crash

import org.heatherwind.core.crash.SuspectKey

/**
 * The keys of prompt parts. Remembers those used last, since computing a key costs much more than finding one, and most
 * prompts share their parts with others. Confined to the event loop.
 */
internal class PartKeys {
    private val known = object : LinkedHashMap<String, SuspectKey>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, SuspectKey>): Boolean = size > MAXIMUM_PARTS
    }

    /** Returns the key of the prompt part [partKey]. */
    fun of(partKey: String): SuspectKey = known[partKey] ?: SuspectKey.ofPart(partKey).also {
        if (partKey.length <= MAXIMUM_REMEMBERED_CHARACTERS) known[partKey] = it
    }

    private companion object {
        /** More than the parts of the longest allowed prompt header. */
        const val MAXIMUM_PARTS = 8_192

        /** Bounds the memory; identifiers of parts are short. */
        const val MAXIMUM_REMEMBERED_CHARACTERS = 64
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
