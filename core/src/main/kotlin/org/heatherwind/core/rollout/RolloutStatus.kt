package org.heatherwind.core.rollout

import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.Timestamp

/** The phase of a roll-out that is stored for the operator and all routers. */
public enum class RolloutPhase {
    /** A small share of the requests goes to the new version. */
    Running,

    /** All requests go to the new version. */
    Completed,

    /** No request goes to the new version. */
    RolledBack,
    ;

    /** Whether no other phase of the same order may follow. */
    public val isFinal: Boolean get() = this != Running
}

/**
 * The stored state of a roll-out.
 *
 * @property orderOffset offset of the order, or null in a record that does not name it
 * @property endsAt deadline of the order on the writer's wall clock, or null in a record that does not name it
 */
public data class RolloutStatus(
    val service: ServiceId,
    val targetVersion: String,
    val phase: RolloutPhase,
    val orderOffset: Long?,
    val endsAt: Timestamp?,
)
