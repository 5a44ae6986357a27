package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.TargetId

/**
 * A router's statement that a brittle target has refused one of its requests. It is sent in the form of a
 * [SpeedStatement], that is, as the announcement of a prompt to a target that no list contains.
 */
internal data class RefusalStatement(val target: TargetId) {
    /** Returns this statement in the form of an announcement. */
    fun toAnnouncement() = PlacementAnnouncement(PREFIX + target.value, prefillMilliseconds = 0, parts = emptyList())

    companion object {
        private const val PREFIX = "refusal of "

        /** Returns the statement that [announcement] is, or null if it is another one. */
        fun from(announcement: PlacementAnnouncement): RefusalStatement? = announcement.target
            .takeIf { it.startsWith(PREFIX) }?.let { RefusalStatement(TargetId(it.removePrefix(PREFIX))) }
    }
}
