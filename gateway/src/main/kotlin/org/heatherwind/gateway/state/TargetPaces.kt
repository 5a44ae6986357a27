package org.heatherwind.gateway.state

import org.heatherwind.core.escrow.RemainingBudget
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.placement.ColdCeiling
import org.heatherwind.core.placement.PaceChange
import org.heatherwind.core.placement.PaceSharing
import org.heatherwind.gateway.telemetry.DecisionLog

/**
 * The paces of all services' targets, whose changes it logs. Confined to the event loop.
 *
 * @param routers returns the routers that may send requests, or null while none are known
 * @param isKnownToOthers returns whether the other routers know this one
 * @param coldCeilingOf returns what a cold target of a service may get, or null if that is not limited
 */
internal class TargetPaces(
    private val self: InstanceId,
    private val log: DecisionLog,
    private val routers: () -> Set<InstanceId>?,
    private val isKnownToOthers: () -> Boolean,
    private val coldCeilingOf: (ServiceId) -> ColdCeiling?,
) {
    private val sharings = HashMap<ServiceId, PaceSharing>()

    /** How often a target was passed over for its pace, by service. */
    val passedOverCounts: Map<String, Double>
        get() = sharings.entries.associate { (service, sharing) -> service.value to sharing.passedOverCount.toDouble() }

    /** Returns what the paces of the targets of [service] share. */
    fun sharingOf(service: ServiceId): PaceSharing = sharings.getOrPut(service) {
        PaceSharing(self, routers, { coldCeilingOf(service) }, isKnownToOthers, ::isFleetLarge, ::logChange)
    }

    /** Each router of a small fleet knows most of what a target gets, and the choice by cost finds its pace. */
    private fun isFleetLarge(): Boolean = routers().orEmpty().size > RemainingBudget.SMALL_FLEET_ROUTERS

    private fun logChange(change: PaceChange): Unit = log.stateChange(
        "targets",
        when (change.kind) {
            PaceChange.Kind.BEGAN -> "Began to find the pace of a target."
            PaceChange.Kind.CLOSED -> "Closed the pace of a target."
            PaceChange.Kind.ENDED -> "Found the pace of a target."
        },
        "target" to change.target.value,
        "cause" to change.cause,
        "window" to change.window,
        "position" to change.place?.position,
        "routers" to change.place?.routers,
        "latencyRatio" to change.latencyRatio,
        "ageMilliseconds" to change.ageMilliseconds,
    )
}
