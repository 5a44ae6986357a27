package org.heatherwind.gateway.store

/**
 * An era of the store, which ends when the store comes back from a copy of itself that is some seconds old. Records
 * that were stored since then are gone, and their offsets are given out again: offsets of two eras are unrelated.
 */
public sealed interface StoreEra {
    /** The era with the [number] that the store stated; the next one has a higher number. */
    public data class Numbered(val number: Long) : StoreEra {
        override fun toString(): String = number.toString()
    }

    /** The store stated no era, or none that can be read. */
    public data object Unstated : StoreEra {
        override fun toString(): String = "unstated"
    }
}
