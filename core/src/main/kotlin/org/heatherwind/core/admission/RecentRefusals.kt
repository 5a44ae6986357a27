package org.heatherwind.core.admission

import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.work.WorkRequest

/**
 * The generations that were refused lately, by customer and last prompt part. A repetition by the caller has another
 * ID. Confined to one thread.
 */
public class RecentRefusals {
    private val refusedAt = object : LinkedHashMap<Key, MonotonicTime>() {
        override fun removeEldestEntry(eldest: Map.Entry<Key, MonotonicTime>): Boolean = size > CAPACITY
    }

    /** Records that [work] is refused at [now]. */
    public fun record(work: WorkRequest, now: MonotonicTime) {
        val key = keyOf(work) ?: return
        refusedAt -= key
        refusedAt[key] = now
    }

    /** Returns whether [work] was refused a moment before [now]. */
    public fun contains(work: WorkRequest, now: MonotonicTime): Boolean {
        val at = keyOf(work)?.let { refusedAt[it] } ?: return false
        return now.millisecondsSince(at) <= LIFETIME_MILLISECONDS
    }

    private fun keyOf(work: WorkRequest): Key? =
        work.tokens?.parts?.lastOrNull()?.let { Key(work.customer?.id, it.key) }

    private data class Key(val customer: CustomerId?, val lastPart: String)

    private companion object {
        /** Several times the requests that a router refuses within [LIFETIME_MILLISECONDS]. */
        const val CAPACITY = 500

        /** Callers come back within a third of the time that they have left, which is ten seconds at most. */
        const val LIFETIME_MILLISECONDS = 4_000L
    }
}
