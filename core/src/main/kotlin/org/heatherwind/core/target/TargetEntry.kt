package org.heatherwind.core.target

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId

/**
 * What a target says of itself in the list of targets.
 *
 * @property host IP number
 * @property version version of the target's software, which a rollout moves
 * @property slots requests that it runs at once
 * @property bornAtEpochMilliseconds start of the target's process; another start knows nothing of before. Null where
 *   the target does not tell.
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
    val bornAtEpochMilliseconds: Long? = null,
) {
    /** Whether [other] is the same process at the same address. */
    public fun isSameProcessAs(other: TargetEntry): Boolean =
        id == other.id && host == other.host && port == other.port && service == other.service &&
            bornAtEpochMilliseconds == other.bornAtEpochMilliseconds
}
