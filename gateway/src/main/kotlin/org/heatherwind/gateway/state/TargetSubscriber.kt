package org.heatherwind.gateway.state

import arrow.core.Either
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.target.TargetDirectory
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.telemetry.DecisionLog

/** Adopts the list of targets from the store into the [state]. */
internal class TargetSubscriber(
    private val state: FleetState,
    private val documents: FleetDocuments,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) : StreamSubscriber {
    override fun onSnapshot(records: List<KeyedRecord>) {
        val now = clock.now()
        val entries = records.mapNotNull { record -> parse(record)?.let { record.offset to it } }
        val current = entries.filterNot { (_, entry) -> isOutdated(state.directory, entry, now) }
        state.adoptDirectory(state.directory.withEntries(entries.map { it.second }, now), now)
        current.forEach { (offset, entry) -> recordCold(entry, offset, now) }
        state.isDirectoryRead = true
        log.stateChange("targets", "Read all entries of the list of targets.", "count" to state.directory.entries.size)
    }

    override fun onRecords(records: List<KeyedRecord>) {
        val now = clock.now()
        var directory = state.directory
        val offsets = HashMap<TargetId, Long>()
        for (record in records) {
            val id = TargetId(record.key)
            val existing = directory.entries[id]
            val entry = parse(record)
            if (entry != null && isOutdated(directory, entry, now)) continue
            if (entry == null) {
                if (existing != null) {
                    log.stateChange("targets", "A target was removed from the list.", "target" to id.value)
                }
                directory = directory.without(id, now)
            } else {
                if (existing == null || existing.isChangedBy(entry)) logChange(entry, isAdded = existing == null)
                directory = directory.with(entry, now)
                offsets[id] = record.offset
            }
        }
        state.adoptDirectory(directory, now)
        offsets.forEach { (id, offset) -> directory.entries[id]?.let { recordCold(it, offset, now) } }
    }

    /** Returns whether [entry] is older than what [directory] knows of its target; logs it in that case. */
    private fun isOutdated(directory: TargetDirectory, entry: TargetEntry, now: MonotonicTime): Boolean {
        if (!directory.isOutdated(entry, now)) return false
        val known = directory.newest[entry.id]
        log.stateChange(
            "targets",
            "Ignored an entry that is older than one received before.",
            "target" to entry.id.value,
            "sequence" to entry.sequence,
            "startedAt" to entry.startedAtEpochMilliseconds,
            "draining" to entry.isDraining,
            "knownSequence" to known?.sequence,
            "knownStartedAt" to known?.startedAtEpochMilliseconds,
            "knownDraining" to known?.isDraining,
            "knownRemoved" to known?.isRemoved,
        )
        return true
    }

    private fun logChange(entry: TargetEntry, isAdded: Boolean): Unit = log.stateChange(
        "targets",
        if (isAdded) "A target was added to the list." else "A target's entry changed.",
        "target" to entry.id.value,
        "draining" to entry.isDraining,
        "coldMilliseconds" to entry.coldMilliseconds,
    )

    private fun recordCold(entry: TargetEntry, offset: Long, now: MonotonicTime) {
        state.loadOf(entry.id)?.coldStatements?.recordListed(entry.coldMilliseconds, offset, now)
    }

    override fun onCurrent(now: MonotonicTime, isReconnected: Boolean) {
        val directory = if (isReconnected) state.directory.withContactRegained(now) else state.directory
        state.adoptDirectory(directory.withoutExpiredRemovals(now), now)
    }

    /** The copy may lack entries of live targets, or have older ones, until the targets write theirs again. */
    override fun onRestored(now: MonotonicTime) {
        state.adoptDirectory(state.directory.withContactRegained(now), now)
        state.forgetOffsets()
    }

    private fun parse(record: KeyedRecord): TargetEntry? {
        val value = record.value ?: return null
        return when (val parsed = documents.readTarget(record.key, value)) {
            is Either.Left -> {
                log.stateChange(
                    "targets",
                    "Ignored an invalid target entry.",
                    "target" to record.key,
                    "reason" to parsed.value,
                )
                null
            }

            is Either.Right -> parsed.value
        }
    }
}
