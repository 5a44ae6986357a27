package org.heatherwind.core.target

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.DataCentreId

/**
 * The data centres whose targets get no new requests, by the operators' orders. An order holds until it is taken back.
 * Of the orders for a data centre the one stored last counts, in whatever sequence they are read.
 */
public class Evacuations private constructor(private val changes: PersistentMap<DataCentreId, Change>) {
    public constructor() : this(persistentHashMapOf())

    /** The evacuated data centres. */
    public val dataCentres: Set<DataCentreId> = changes.filterValues { it.isEvacuated }.keys

    /** Returns whether the targets of [dataCentre] get no new requests. */
    public operator fun contains(dataCentre: DataCentreId): Boolean = dataCentre in dataCentres

    /** Returns the offset of the last order for [dataCentre], or null if there was none. */
    public fun offsetOf(dataCentre: DataCentreId): Long? = changes[dataCentre]?.offset

    /** Returns the evacuations after the order to evacuate [dataCentre], stored at [offset]. */
    public fun with(dataCentre: DataCentreId, offset: Long): Evacuations =
        changed(dataCentre, Change(offset, isEvacuated = true))

    /** Returns the evacuations after that of [dataCentre] was taken back, with the removal stored at [offset]. */
    public fun without(dataCentre: DataCentreId, offset: Long): Evacuations =
        changed(dataCentre, Change(offset, isEvacuated = false))

    /** Returns the evacuations after all orders were read. Those of other data centres than [present] have ended. */
    public fun onlyOf(present: Set<DataCentreId>): Evacuations =
        (dataCentres - present).fold(this) { left, dataCentre ->
            left.without(dataCentre, changes.getValue(dataCentre).offset)
        }

    private fun changed(dataCentre: DataCentreId, change: Change): Evacuations {
        val last = changes[dataCentre]
        if (last != null && (last == change || last.isAfter(change))) return this
        return Evacuations(changes.put(dataCentre, change))
    }

    private data class Change(val offset: Long, val isEvacuated: Boolean) {
        /** The removal of an order that is missing among all orders has the offset of that order. */
        fun isAfter(other: Change): Boolean = offset > other.offset || (offset == other.offset && !isEvacuated)
    }
}
