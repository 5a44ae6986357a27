package org.heatherwind.core.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * A persistent map that retains at least the last [capacity] entries put, and at most twice as many. When the current
 * generation is full, it replaces the previous one. The contents depend only on the order of the changes and never on a
 * clock, so they are the same on every router.
 */
public data class RecentMap<K, V>(
    public val capacity: Int,
    public val current: PersistentMap<K, V> = persistentHashMapOf(),
    public val previous: PersistentMap<K, V> = persistentHashMapOf(),
) {
    /** Number of retained entries; a key in both generations counts twice. */
    public val size: Int get() = current.size + previous.size

    /** Returns the value of [key], or null if it was never put or is no longer retained. */
    public operator fun get(key: K): V? = current[key] ?: previous[key]

    public operator fun contains(key: K): Boolean = key in current || key in previous

    /** Returns this map with [key] set to [value], in a new generation if the current one is full. */
    public fun put(key: K, value: V): RecentMap<K, V> = if (current.size >= capacity) {
        copy(current = persistentHashMapOf<K, V>().put(key, value), previous = current)
    } else {
        copy(current = current.put(key, value))
    }

    public fun remove(key: K): RecentMap<K, V> = copy(current = current.remove(key), previous = previous.remove(key))
}
