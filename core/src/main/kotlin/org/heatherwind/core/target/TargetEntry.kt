package org.heatherwind.core.target

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId

/**
 * A target's entry in the list of targets.
 *
 * @property host IP address
 * @property version version of the target's software, which changes in a rollout
 * @property slots requests that the target runs concurrently
 * @property isDraining whether the target accepts no new requests
 * @property startedAtEpochMilliseconds start of the target's process, which has no state of earlier processes; null if
 *   the entry does not contain it
 * @property sequence number of the entry among those of the target's process, which count up
 * @property coldMilliseconds how much longer the target stays cold, as of when it wrote the entry; 0 if it is warm
 */
public data class TargetEntry(
    val id: TargetId,
    val service: ServiceId,
    val host: String,
    val port: Int,
    val dataCentre: DataCentreId,
    val version: String,
    val slots: Int,
    val isDraining: Boolean,
    val startedAtEpochMilliseconds: Long? = null,
    val sequence: Long = 0,
    val coldMilliseconds: Long = 0,
) {
    /** Returns whether [other] describes the same process at the same address. */
    public fun isSameProcessAs(other: TargetEntry): Boolean =
        id == other.id && host == other.host && port == other.port && service == other.service &&
            startedAtEpochMilliseconds == other.startedAtEpochMilliseconds

    /** Returns whether [other] is known to describe the same process, whatever its address. */
    public fun isSameLifeAs(other: TargetEntry): Boolean = id == other.id && startedAtEpochMilliseconds != null &&
        startedAtEpochMilliseconds == other.startedAtEpochMilliseconds

    /** Returns whether [other] differs from this entry in more than its number. */
    public fun isChangedBy(other: TargetEntry): Boolean = other.copy(sequence = sequence) != this

    public companion object {
        /** For how long a target may state to stay cold. A longer time is an error: targets warm up in seconds. */
        public val COLD_MILLISECONDS: LongRange = 0L..3_600_000L
    }
}
