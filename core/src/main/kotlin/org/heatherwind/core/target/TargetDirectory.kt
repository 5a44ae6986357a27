package org.heatherwind.core.target

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId

/**
 * The targets that may get requests, built from the updates of the list of targets.
 *
 * Entries of live targets may expire while the list is unreachable. So a removal that arrives shortly after the list
 * became reachable again takes effect only [removalHoldMilliseconds] after that, unless the entry reappears.
 *
 * @property entries all entries, including those with a pending removal
 * @property pendingRemovals entries to be removed, with the time at which the removal takes effect
 * @property removalsHeldUntil removals that arrive before this time are held until then
 */
public data class TargetDirectory(
    val entries: PersistentMap<TargetId, TargetEntry> = persistentHashMapOf(),
    val pendingRemovals: PersistentMap<TargetId, MonotonicTime> = persistentHashMapOf(),
    val removalsHeldUntil: MonotonicTime = MonotonicTime.distantPast,
    val removalHoldMilliseconds: Long = DEFAULT_REMOVAL_HOLD_MILLISECONDS,
) {
    /** Returns this directory with [entry] added or replaced; this cancels a pending removal of it. */
    public fun with(entry: TargetEntry): TargetDirectory =
        copy(entries = entries.put(entry.id, entry), pendingRemovals = pendingRemovals.remove(entry.id))

    /** Returns this directory after the list removed [id] at [now]. Draining targets are always removed at once. */
    public fun without(id: TargetId, now: MonotonicTime): TargetDirectory {
        val entry = entries[id] ?: return this
        return if (now < removalsHeldUntil && !entry.isDraining) {
            copy(pendingRemovals = pendingRemovals.put(id, removalsHeldUntil))
        } else {
            copy(entries = entries.remove(id), pendingRemovals = pendingRemovals.remove(id))
        }
    }

    /** Returns this directory after the whole list was read at [now] and contains only [present]. */
    public fun withEntries(present: Collection<TargetEntry>, now: MonotonicTime): TargetDirectory {
        val presentIds = present.mapTo(HashSet()) { it.id }
        val absent = entries.keys.filterNot { it in presentIds }
        return absent.fold(present.fold(this) { directory, entry -> directory.with(entry) }) { directory, id ->
            directory.without(id, now)
        }
    }

    /** Returns this directory after the list became reachable again at [now]. */
    public fun withContactRegained(now: MonotonicTime): TargetDirectory =
        copy(removalsHeldUntil = now.plusMilliseconds(removalHoldMilliseconds))

    /** Returns this directory without the entries whose pending removal takes effect by [now]. */
    public fun withoutExpiredRemovals(now: MonotonicTime): TargetDirectory {
        val due = pendingRemovals.filterValues { it <= now }.keys
        if (due.isEmpty()) return this
        return copy(
            entries = due.fold(entries) { remaining, id -> remaining.remove(id) },
            pendingRemovals = due.fold(pendingRemovals) { remaining, id -> remaining.remove(id) },
        )
    }

    /** Returns the targets of [service] that accept new requests. */
    public fun candidatesOf(service: ServiceId): List<TargetEntry> =
        entries.values.filter { it.service == service && !it.isDraining }

    public companion object {
        /** Expired entries of live targets reappear within 2 s after the list is reachable again. */
        public const val DEFAULT_REMOVAL_HOLD_MILLISECONDS: Long = 2_200
    }
}
