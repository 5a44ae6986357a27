package org.heatherwind.core.crash

import org.heatherwind.core.identity.MonotonicTime

/**
 * The crashes of targets under requests that had a [SuspectKey] in common, as known from all routers.
 *
 * No target outlives the begin of its answer to a key that crashes it, so an answer that its target outlived clears the
 * key of earlier crashes. A key is blocked after crashes at several separate moments without such an answer, unless a
 * key that is blocked already explains them: the requests that share a deadly part of their prompts may share others
 * too. Confined to one thread; bounded in size.
 */
public class CrashSuspects {
    private val suspects = LinkedHashMap<SuspectKey, Suspect>()
    private val answers = AnsweredKeys()

    /** Whether no crash is known, so that no request needs to be checked. */
    public val isEmpty: Boolean get() = suspects.isEmpty()

    /**
     * Records that the target process [process] crashed at [crashedAt] under requests with [keys] whose answers had not
     * begun. A crash that is known already changes nothing.
     *
     * @param keys the keys of each request in the order of its prompt; a later one is the more specific
     * @return the keys that are blocked from now on
     */
    public fun recordCrash(
        process: String,
        keys: List<SuspectKey>,
        crashedAt: MonotonicTime,
        now: MonotonicTime,
    ): List<SuspectKey> {
        val expiresAt = crashedAt.plusMilliseconds(LIFETIME_MILLISECONDS)
        if (expiresAt <= now) return emptyList()
        val added = keys.filter { key -> add(key, process, crashedAt, expiresAt, now) }
        val blocked = added.asReversed().filter { key -> block(key, earlier = keys.subList(0, keys.indexOf(key)), now) }
        return blocked.filter { isBlocked(it, now) }
    }

    private fun add(
        key: SuspectKey,
        process: String,
        crashedAt: MonotonicTime,
        expiresAt: MonotonicTime,
        now: MonotonicTime,
    ): Boolean {
        val answeredAt = answers.lastAnswerAt(key)
        if (answeredAt != null && answeredAt >= crashedAt) return false
        val suspect = suspects[key] ?: Suspect().also {
            makeRoom(now)
            suspects[key] = it
        }
        if (!suspect.add(process, crashedAt)) return false
        suspect.expiresAt = maxOf(suspect.expiresAt, expiresAt)
        if (answers.isAnsweredWithin(ANSWER_LIFETIME_MILLISECONDS, key, crashedAt)) suspect.wasAnswered = true
        return true
    }

    /**
     * Blocks [key] if its crashes suffice, and unblocks those of the [earlier], less specific keys that it explains.
     */
    private fun block(key: SuspectKey, earlier: List<SuspectKey>, now: MonotonicTime): Boolean {
        val suspect = suspects[key] ?: return false
        val lessSpecific = earlier.mapNotNullTo(HashSet()) { suspects[it] }
        if (suspect.isBlocked || !suspect.hasEnoughMoments || isExplained(suspect, lessSpecific, now)) return false
        suspect.isBlocked = true
        lessSpecific.filter { it.isBlocked && isExplained(it, emptySet(), now) }.forEach { it.isBlocked = false }
        return true
    }

    /** Returns whether a blocked key accounts for the crashes of [suspect], except for one at most by chance. */
    private fun isExplained(suspect: Suspect, ignored: Set<Suspect>, now: MonotonicTime): Boolean =
        suspects.values.any { other ->
            other !== suspect && other !in ignored && other.isBlocked && now < other.expiresAt &&
                suspect.crashes.keys.count { it !in other.crashes } < MINIMUM_UNEXPLAINED_CRASHES
        }

    /**
     * Records that an answer to a request with [key] began at [answeredAt]. Returns whether this clears the key of
     * crashes. Whole requests seldom come again, so their answers are recorded only for suspects.
     */
    public fun recordAnswer(key: SuspectKey, answeredAt: MonotonicTime): Boolean {
        val suspect = suspects[key]
        if (suspect != null || !key.isRequest) answers.recordAnswer(key, answeredAt)
        if (suspect == null) return false
        val isCleared = suspect.disregardCrashesBefore(answeredAt)
        suspect.wasAnswered = true
        suspect.isBlocked = suspect.isBlocked && suspect.hasEnoughMoments
        return isCleared
    }

    /** Returns when the last answer to a request with [key] began, if that is recent, otherwise null. */
    public fun recentAnswerAt(key: SuspectKey, now: MonotonicTime): MonotonicTime? =
        answers.lastAnswerAt(key)?.takeIf { now.millisecondsSince(it) < ANSWER_LIFETIME_MILLISECONDS }

    /** Returns whether answers to requests with [key] begin all the time, so that a crash makes no suspect of it. */
    public fun isAnsweredConstantly(key: SuspectKey, now: MonotonicTime): Boolean =
        answers.isAnsweredWithin(CONSTANT_ANSWERS_MILLISECONDS, key, now)

    /** Returns the number of targets that crashed under requests with [key]. */
    public fun crashCount(key: SuspectKey, now: MonotonicTime): Int = live(key, now)?.crashes?.size ?: 0

    /** Returns the time of the last crash under a request with [key], or null if there was none. */
    public fun lastCrashAt(key: SuspectKey, now: MonotonicTime): MonotonicTime? =
        live(key, now)?.crashes?.values?.maxOrNull()

    /** Returns whether requests with [key] must not be sent to targets. */
    public fun isBlocked(key: SuspectKey, now: MonotonicTime): Boolean = live(key, now)?.isBlocked == true

    /** Returns the keys that are blocked. */
    public fun blocked(now: MonotonicTime): List<SuspectKey> = suspects.keys.filter { isBlocked(it, now) }

    private fun live(key: SuspectKey, now: MonotonicTime): Suspect? = suspects[key]?.takeIf { now < it.expiresAt }

    private fun makeRoom(now: MonotonicTime) {
        suspects.values.removeIf { it.expiresAt <= now }
        if (suspects.size < MAXIMUM_SUSPECTS) return
        val weakest = suspects.entries.minWith(compareBy({ it.value.crashes.size }, { it.value.expiresAt }))
        suspects.remove(weakest.key)
    }

    private class Suspect {
        val crashes = LinkedHashMap<String, MonotonicTime>()

        /** Crashes before an answer, which other routers may still report. */
        private val disregarded = LinkedHashSet<String>()
        var expiresAt = MonotonicTime.distantPast
        var isBlocked = false

        /** Whether an answer began shortly before a crash; it takes more evidence that the key now crashes targets. */
        var wasAnswered = false

        val hasEnoughMoments: Boolean
            get() = countMoments() >= if (wasAnswered) BLOCKING_MOMENTS_AFTER_ANSWER else BLOCKING_MOMENTS

        fun add(process: String, crashedAt: MonotonicTime): Boolean {
            if (process in crashes || process in disregarded) return false
            if (crashes.size >= MAXIMUM_CRASHES) crashes.remove(crashes.keys.first())
            crashes[process] = crashedAt
            return true
        }

        fun disregardCrashesBefore(answeredAt: MonotonicTime): Boolean {
            val earlier = crashes.filterValues { it <= answeredAt }.keys
            disregarded += earlier
            while (disregarded.size > MAXIMUM_CRASHES) disregarded.remove(disregarded.first())
            return crashes.keys.removeAll(earlier)
        }

        /** Targets that crash together have a common cause other than one request, and count once. */
        private fun countMoments(): Int {
            var count = 0
            var last = MonotonicTime.distantPast
            for (crashedAt in crashes.values.sorted()) {
                if (crashedAt.millisecondsSince(last) < MOMENT_MILLISECONDS) continue
                count++
                last = crashedAt
            }
            return count
        }
    }

    public companion object {
        /** Number of separate moments with crashes after which a key is blocked. */
        public const val BLOCKING_MOMENTS: Int = 3

        /** The same for a key to which an answer began shortly before a crash. */
        public const val BLOCKING_MOMENTS_AFTER_ANSWER: Int = 5

        /** Time after its last crash until a suspect is forgotten, and requests with it are sent again. */
        public const val LIFETIME_MILLISECONDS: Long = 600_000

        /** Longer than an outage of all targets, which must not block the parts that all prompts share. */
        private const val ANSWER_LIFETIME_MILLISECONDS = 30_000L
        private const val CONSTANT_ANSWERS_MILLISECONDS = 1_000L

        /**
         * Crashes within this time count as one moment; routers see the same outage within some tens of milliseconds.
         */
        private const val MOMENT_MILLISECONDS = 500L
        private const val MINIMUM_UNEXPLAINED_CRASHES = 2
        private const val MAXIMUM_SUSPECTS = 256
        private const val MAXIMUM_CRASHES = 16
    }
}
