package org.heatherwind.gateway.http

/** Limits the bytes that the process holds for one purpose. Confined to one thread. */
internal class MemoryLimit(private val maximumBytes: Long) {
    /** Bytes currently held. */
    var heldBytes = 0L
        private set

    /** Acquires [bytes]. Returns false, and acquires nothing, if the limit would be exceeded. */
    fun tryAcquire(bytes: Int): Boolean {
        if (heldBytes + bytes > maximumBytes) return false
        heldBytes += bytes
        return true
    }

    /** Releases [bytes] that were acquired. */
    fun release(bytes: Int) {
        heldBytes -= bytes
    }
}
