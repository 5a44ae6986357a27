package org.heatherwind.gateway.http

/** The bytes that one holder has of [limit]. Small amounts are free, so that others cannot crowd them out. */
internal class MemoryShare(private val limit: MemoryLimit) {
    private var acquiredBytes = 0

    /** Holds buffers with [contentBytes] in place of what was held. Returns false if the limit would be exceeded. */
    fun tryHold(contentBytes: Int): Boolean {
        val wanted = if (contentBytes <= FREE_BYTES) 0 else contentBytes * BUFFER_FACTOR
        val added = wanted - acquiredBytes
        if (added > 0 && !limit.tryAcquire(added)) return false
        if (added < 0) limit.release(-added)
        acquiredBytes = wanted
        return true
    }

    /** Releases all that is held. */
    fun release() {
        limit.release(acquiredBytes)
        acquiredBytes = 0
    }

    private companion object {
        /** Exceeds a partial event and the body of a usual error response. */
        const val FREE_BYTES = 8_192

        /** Buffers double in size when they are full. */
        const val BUFFER_FACTOR = 2
    }
}
