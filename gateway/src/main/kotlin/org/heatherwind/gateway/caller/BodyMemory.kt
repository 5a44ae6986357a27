package org.heatherwind.gateway.caller

/** Counts the bytes of request bodies that the process holds, against a bound. Confined to one thread. */
internal class BodyMemory(private val maximumBytes: Long) {
    /** Bytes held now. */
    var heldBytes = 0L
        private set

    /** Takes [bytes], or answers false when the bound is reached. */
    fun tryTake(bytes: Int): Boolean {
        if (heldBytes + bytes > maximumBytes) return false
        heldBytes += bytes
        return true
    }

    /** Gives back [bytes]. */
    fun give(bytes: Int) {
        heldBytes -= bytes
    }
}
