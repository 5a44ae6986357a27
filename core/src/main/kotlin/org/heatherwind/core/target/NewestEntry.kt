package org.heatherwind.core.target

import org.heatherwind.core.identity.MonotonicTime

/**
 * The newest known entry of a target, which outlives the target's removal from the list for a while.
 *
 * The store may store an entry some seconds after it was written, so entries do not arrive in the order in which they
 * were written. Entries that seem older are ignored for a limited time only: another writer's entry may look newer than
 * all that the target itself will write.
 *
 * @property olderIgnoredUntil until when entries that are older than this one are ignored
 * @property isRemoved whether the target was removed from the list after this entry
 */
public data class NewestEntry(
    val startedAtEpochMilliseconds: Long?,
    val sequence: Long,
    val isDraining: Boolean,
    val olderIgnoredUntil: MonotonicTime,
    val isRemoved: Boolean = false,
) {
    /** Returns whether [entry] was written before this one. */
    public fun isNewerThan(entry: TargetEntry): Boolean {
        val startedAt = startedAtEpochMilliseconds
        val otherStartedAt = entry.startedAtEpochMilliseconds
        return when {
            startedAt == null && otherStartedAt != null -> false

            // Without starts, a lower number may be that of a new process; an old entry does harm if it ends a drain.
            startedAt == null -> isDraining && isNumberedAfter(entry)

            otherStartedAt == null -> true

            startedAt == otherStartedAt -> isNumberedAfter(entry)

            else -> startedAt > otherStartedAt
        }
    }

    /** After a removal, the last entry may be stored once more. */
    private fun isNumberedAfter(entry: TargetEntry): Boolean =
        entry.sequence < sequence || (isRemoved && entry.sequence == sequence)

    public companion object {
        /** Returns [entry], received at [now], as the newest one of its target. */
        public fun of(entry: TargetEntry, now: MonotonicTime): NewestEntry = NewestEntry(
            startedAtEpochMilliseconds = entry.startedAtEpochMilliseconds,
            sequence = entry.sequence,
            isDraining = entry.isDraining,
            olderIgnoredUntil = now.plusMilliseconds(OLDER_IGNORED_MILLISECONDS),
        )

        /** Longer than the store takes for a late write, and than the interval between two entries of a target. */
        public const val OLDER_IGNORED_MILLISECONDS: Long = 10_000
    }
}
