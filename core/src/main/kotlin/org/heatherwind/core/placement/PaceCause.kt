package org.heatherwind.core.placement

/**
 * Why the pace of a target is found anew.
 *
 * @property isCommon whether all routers learn of it at about the same time, so that they take turns
 */
public enum class PaceCause(public val isCommon: Boolean) {
    /** It was added to the list of targets while this router was running. */
    ADDED(isCommon = true),

    /** It started again under its ID. */
    RESTARTED(isCommon = true),

    /** A pause ends for which it has asked. */
    PAUSE_ENDED(isCommon = true),

    /** A suspicion of this router ends. */
    SUSPICION_ENDED(isCommon = false),

    /** The evacuation of its data centre was taken back. */
    EVACUATION_ENDED(isCommon = true),

    /** It became cold. */
    COLD(isCommon = true),

    /** It is not cold any more. */
    COLD_ENDED(isCommon = true),
}
