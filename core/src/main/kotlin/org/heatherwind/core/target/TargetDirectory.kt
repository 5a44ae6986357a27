package org.heatherwind.core.target

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId

/**
 * The targets that may get work, folded from the list of targets.
 *
 * A removal that arrives just after the list was out of reach may be a lapse of the list and not of the target, so the
 * entry is kept until [settleMilliseconds] after contact was regained.
 *
 * @property entries all known entries
 * @property lapsing entries that were removed around an outage, with the moment at which they are dropped
 * @property settledAt removals before this moment are held
 */
public data class TargetDirectory(
    val entries: PersistentMap<TargetId, TargetEntry> = persistentHashMapOf(),
    val lapsing: PersistentMap<TargetId, MonotonicTime> = persistentHashMapOf(),
    val settledAt: MonotonicTime = MonotonicTime.distantPast,
    val settleMilliseconds: Long = DEFAULT_SETTLE_MILLISECONDS,
) {
    /** This directory with [entry] added or changed. */
    public fun with(entry: TargetEntry): TargetDirectory =
        copy(entries = entries.put(entry.id, entry), lapsing = lapsing.remove(entry.id))

    /** This directory after the list removed [id] at [now]. */
    public fun without(id: TargetId, now: MonotonicTime): TargetDirectory {
        val entry = entries[id] ?: return this
        return if (now < settledAt && !entry.isDraining) {
            copy(lapsing = lapsing.put(id, settledAt))
        } else {
            copy(entries = entries.remove(id), lapsing = lapsing.remove(id))
        }
    }

    /** This directory after the whole list was read at [now] and holds just [present]. */
    public fun replacedBy(present: Collection<TargetEntry>, now: MonotonicTime): TargetDirectory {
        val names = present.mapTo(HashSet()) { it.id }
        val absent = entries.keys.filterNot { it in names }
        return absent.fold(present.fold(this) { directory, entry -> directory.with(entry) }) { directory, id ->
            directory.without(id, now)
        }
    }

    /** This directory after contact with the list was regained at [now]. */
    public fun regained(now: MonotonicTime): TargetDirectory =
        copy(settledAt = now.plusMilliseconds(settleMilliseconds))

    /** This directory without the entries whose hold is over at [now]. */
    public fun settled(now: MonotonicTime): TargetDirectory {
        val over = lapsing.filterValues { it <= now }.keys
        if (over.isEmpty()) return this
        return copy(
            entries = over.fold(entries) { kept, id -> kept.remove(id) },
            lapsing = over.fold(lapsing) { kept, id -> kept.remove(id) },
        )
    }

    /** Targets of [service] that take new work. */
    public fun candidatesOf(service: ServiceId): List<TargetEntry> =
        entries.values.filter { it.service == service && !it.isDraining }

    public companion object {
        /** Lapsed entries of live targets are back within two seconds of the list's return, by the users' letter. */
        public const val DEFAULT_SETTLE_MILLISECONDS: Long = 2_200
    }
}
