package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.TargetLoad
import kotlin.math.roundToLong

/**
 * A router's statement of how fast a target is, as it has learned by itself. It is sent as the announcement of a prompt
 * to a target that no list contains: routers of the version before ignore that, while they would drop an announcement
 * with a field more.
 *
 * @property slownessPercent time that the target takes, in percent of the usual
 */
internal data class SpeedStatement(val target: TargetId, val slownessPercent: Long) {
    /** Returns this statement in the form of an announcement. */
    fun toAnnouncement() = PlacementAnnouncement(PREFIX + target.value, slownessPercent, parts = emptyList())

    companion object {
        private const val PREFIX = "speed of "
        private const val PERCENT = 100

        /** Returns what this router states of [target] at [now], or null if it knows too little. */
        fun of(target: TargetLoad, now: MonotonicTime): SpeedStatement? =
            target.learnedSlowness.ownFactor(now)?.takeIf { target.isSlownessLearned(now) }
                ?.let { SpeedStatement(target.entry.id, (it * PERCENT).roundToLong()) }

        /** Returns the statement that [announcement] is, or null if it announces a prompt. */
        fun from(announcement: PlacementAnnouncement): SpeedStatement? =
            announcement.target.takeIf { it.startsWith(PREFIX) }
                ?.let { SpeedStatement(TargetId(it.removePrefix(PREFIX)), announcement.prefillMilliseconds) }
    }
}
