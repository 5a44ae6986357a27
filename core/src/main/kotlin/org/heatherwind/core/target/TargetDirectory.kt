package org.heatherwind.core.target

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId

/**
 * The targets that may get requests, built from the updates of the list of targets. Of the entries of a target, the one
 * that the target wrote last applies, in whichever order they arrive.
 *
 * Entries of live targets may expire while the list is unreachable. So a removal that arrives shortly after the list
 * became reachable again takes effect only [removalHoldMilliseconds] after that, unless the entry reappears.
 *
 * @property entries all entries, including those with a pending removal
 * @property pendingRemovals entries to be removed, with the time at which the removal takes effect
 * @property removalsHeldUntil removals that arrive before this time are held until then
 * @property newest the newest entry of each target, also of targets that were removed lately
 * @property olderIgnoredUntil until when older entries of all targets are ignored
 */
public data class TargetDirectory(
    val entries: PersistentMap<TargetId, TargetEntry> = persistentHashMapOf(),
    val pendingRemovals: PersistentMap<TargetId, MonotonicTime> = persistentHashMapOf(),
    val removalsHeldUntil: MonotonicTime = MonotonicTime.distantPast,
    val removalHoldMilliseconds: Long = DEFAULT_REMOVAL_HOLD_MILLISECONDS,
    val newest: PersistentMap<TargetId, NewestEntry> = persistentHashMapOf(),
    val olderIgnoredUntil: MonotonicTime = MonotonicTime.distantPast,
) {
    /**
     * Returns this directory with [entry], received at [now], added or replaced; this cancels a pending removal of it.
     * Returns this directory itself if the entry [isOutdated].
     */
    public fun with(entry: TargetEntry, now: MonotonicTime = MonotonicTime.distantPast): TargetDirectory =
        if (isOutdated(entry, now)) {
            this
        } else {
            copy(
                entries = if (entries[entry.id]?.isChangedBy(entry) == false) entries else entries.put(entry.id, entry),
                pendingRemovals = pendingRemovals.remove(entry.id),
                newest = newest.put(entry.id, NewestEntry.of(entry, now)),
            )
        }

    /** Returns whether a newer entry of the same target than [entry] is known, and still applies at [now]. */
    public fun isOutdated(entry: TargetEntry, now: MonotonicTime): Boolean {
        val known = newest[entry.id] ?: return false
        return now < maxOf(known.olderIgnoredUntil, olderIgnoredUntil) && known.isNewerThan(entry)
    }

    /** Returns this directory after the list removed [id] at [now]. Draining targets are always removed at once. */
    public fun without(id: TargetId, now: MonotonicTime): TargetDirectory {
        val entry = entries[id] ?: return this
        return if (now < removalsHeldUntil && !entry.isDraining) {
            copy(pendingRemovals = pendingRemovals.put(id, removalsHeldUntil))
        } else {
            withRemovals(setOf(id), now)
        }
    }

    private fun withRemovals(ids: Collection<TargetId>, now: MonotonicTime): TargetDirectory = copy(
        entries = ids.fold(entries) { remaining, id -> remaining.remove(id) },
        pendingRemovals = ids.fold(pendingRemovals) { remaining, id -> remaining.remove(id) },
        newest = ids.fold(newest) { all, id ->
            val known = all[id] ?: return@fold all
            val ignoredUntil = now.plusMilliseconds(NewestEntry.OLDER_IGNORED_MILLISECONDS)
            all.put(id, known.copy(isRemoved = true, olderIgnoredUntil = ignoredUntil))
        },
    )

    /** Returns this directory after the whole list was read at [now] and contains only [present]. */
    public fun withEntries(present: Collection<TargetEntry>, now: MonotonicTime): TargetDirectory {
        val presentIds = present.mapTo(HashSet()) { it.id }
        val absent = entries.keys.filterNot { it in presentIds }
        return absent.fold(present.fold(this) { directory, entry -> directory.with(entry, now) }) { directory, id ->
            directory.without(id, now)
        }
    }

    /** Returns this directory after the list became reachable again at [now]. */
    public fun withContactRegained(now: MonotonicTime): TargetDirectory = copy(
        removalsHeldUntil = now.plusMilliseconds(removalHoldMilliseconds),
        // No newer entries arrived meanwhile, and the store may show older ones first.
        olderIgnoredUntil = now.plusMilliseconds(NewestEntry.OLDER_IGNORED_MILLISECONDS),
    )

    /**
     * Returns this directory without the entries whose pending removal takes effect by [now], and without what is known
     * of targets that were removed long ago.
     */
    public fun withoutExpiredRemovals(now: MonotonicTime): TargetDirectory {
        val due = pendingRemovals.filterValues { it <= now }.keys
        return (if (due.isEmpty()) this else withRemovals(due, now)).withoutForgotten(now)
    }

    private fun withoutForgotten(now: MonotonicTime): TargetDirectory {
        if (newest.size == entries.size || now < olderIgnoredUntil) return this
        val forgotten = newest.filterValues { it.isRemoved && it.olderIgnoredUntil <= now }.keys
        if (forgotten.isEmpty()) return this
        return copy(newest = forgotten.fold(newest) { remaining, id -> remaining.remove(id) })
    }

    /** Returns the targets of [service] that accept new requests. */
    public fun candidatesOf(service: ServiceId): List<TargetEntry> =
        entries.values.filter { it.service == service && !it.isDraining }

    public companion object {
        /** Expired entries of live targets reappear within 2 s after the list is reachable again. */
        public const val DEFAULT_REMOVAL_HOLD_MILLISECONDS: Long = 2_200
    }
}
