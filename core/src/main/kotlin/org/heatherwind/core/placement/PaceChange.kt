package org.heatherwind.core.placement

import org.heatherwind.core.identity.TargetId

/**
 * A change of a target's pace, with what led to it.
 *
 * @property window requests of this router that the target may have at once
 * @property place this router's place among those that take turns, or null if it isn't known
 * @property latencyRatio recent ratio of the actual to the predicted time to the first event
 * @property ageMilliseconds time since the pace began, negative until a pause or suspicion is over
 */
public class PaceChange(
    public val kind: Kind,
    public val target: TargetId,
    public val cause: PaceCause,
    public val window: Double,
    public val place: PacePlace?,
    public val latencyRatio: Double,
    public val ageMilliseconds: Long,
) {
    /** What changed. */
    public enum class Kind {
        /** The target gets only as many requests at once as its window allows. */
        BEGAN,

        /** The window closed to the smallest one after a failure. */
        CLOSED,

        /** The target's pace isn't limited any more. */
        ENDED,
    }
}
