package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/** What a target and the list of targets have stated about how long the target stays cold. Confined to one thread. */
public class ColdStatements {
    /** Until when the target is cold, as stated last. */
    public var until: MonotonicTime = MonotonicTime.distantPast

    /** Offset of the newest entry from which [until] was taken. */
    private var offset = -1L

    /** Records the statement of the entry at [offset]. One read again, or after a newer one, changes nothing. */
    public fun recordListed(milliseconds: Long, offset: Long, now: MonotonicTime) {
        if (offset <= this.offset) return
        this.offset = offset
        record(milliseconds, now)
    }

    /** Makes the next entry count whatever its offset, since offsets begin anew. */
    public fun forgetOffset() {
        offset = -1
    }

    /** Records the statement, received at [now], that the target stays cold for [milliseconds]. */
    public fun record(milliseconds: Long, now: MonotonicTime) {
        until = if (milliseconds > 0) now.plusMilliseconds(milliseconds) else MonotonicTime.distantPast
    }
}
