package org.heatherwind.core.crash

import org.heatherwind.core.identity.MonotonicTime

/**
 * When the last answer to a request with a key began, as known from all routers. Confined to one thread; holds only the
 * most recently answered keys.
 */
public class AnsweredKeys {
    private val answeredAt = object : LinkedHashMap<SuspectKey, MonotonicTime>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<SuspectKey, MonotonicTime>): Boolean = size > MAXIMUM_KEYS
    }

    /** Records that an answer to a request with [key] began at [time]. */
    public fun recordAnswer(key: SuspectKey, time: MonotonicTime) {
        val previous = answeredAt[key]
        if (previous == null || previous < time) answeredAt[key] = time
    }

    /** Returns when the last answer to a request with [key] began, or null if none is known. */
    public fun lastAnswerAt(key: SuspectKey): MonotonicTime? = answeredAt[key]

    /** Returns whether an answer to a request with [key] began within [milliseconds] before [time], or after it. */
    public fun isAnsweredWithin(milliseconds: Long, key: SuspectKey, time: MonotonicTime): Boolean =
        answeredAt[key]?.let { time.millisecondsSince(it) < milliseconds } ?: false

    private companion object {
        /** Several times the parts of the longest allowed prompt header, so that one request replaces few others'. */
        const val MAXIMUM_KEYS = 16_384
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
