package org.heatherwind.gateway.rollout

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.rollout.RolloutPhase
import org.heatherwind.core.rollout.VersionAdmission
import org.heatherwind.core.routing.Rendezvous
import org.heatherwind.gateway.state.FleetState

/** Selects the targets of a service by version. Confined to the event loop. */
internal class VersionedTargets(
    private val state: FleetState,
    private val rollouts: Rollouts,
    private val clock: MonotonicClock,
) {
    private val groups = HashMap<ServiceId, VersionGroups>()
    private val admissions = HashMap<ServiceId, VersionAdmission>()

    /** Returns the targets of [service] to which any request may be sent. */
    fun establishedOf(service: ServiceId): List<TargetLoad> {
        val groups = groupsOf(service)
        val rollout = rollouts.of(service)?.rollout
        if (rollout == null) {
            if (groups.versions.size <= 1) return groups.available
            val now = clock.now()
            val admission = admissions.getValue(service)
            return groups.available.filter { admission.isAdmitted(it.entry.version, now, rollouts.ordersReadAt) }
        }
        val introduced = groups.availableByVersion[rollout.order.targetVersion].orEmpty()
        val others = groups.available.filter { it.entry.version != rollout.order.targetVersion }
        return when (rollout.phase) {
            RolloutPhase.Completed -> if (rollout.order.targetVersion in groups.versions) introduced else others

            RolloutPhase.RolledBack, RolloutPhase.Running, null -> {
                val abandoned = rollouts.abandonedVersionsOf(service)
                val isInUse = rollout.phase == null && rollout.isVersionInUse == true
                if (isInUse) introduced else others.filterNot { it.entry.version in abandoned }
            }
        }
    }

    /** Returns the targets of the ordered version that get a share of the requests of [service]. */
    fun introducedOf(service: ServiceId): List<TargetLoad> {
        val rollout = rollouts.of(service)?.rollout ?: return emptyList()
        val introduced = groupsOf(service).availableByVersion[rollout.order.targetVersion].orEmpty()
        val count = rollouts.policy.targetCount(establishedOf(service).size, rollout.evidence.introducedAnswers)
        if (introduced.size <= count) return introduced
        val remaining = introduced.toMutableList()
        return List(count) {
            Rendezvous.first("rollout", remaining) { it.entry.id.value }!!.also { remaining -= it }
        }
    }

    /** Returns whether all targets of [service] have [version], or null if none is known. */
    fun hasOnly(service: ServiceId, version: String): Boolean? =
        groupsOf(service).versions.takeIf { it.isNotEmpty() }?.let { it == setOf(version) }

    /** An evacuation changes which targets are available, but not which versions the service has. */
    private fun groupsOf(service: ServiceId): VersionGroups {
        val registered = state.registeredOf(service)
        val available = state.candidatesOf(service)
        val last = groups[service]
        if (last != null && last.registered === registered && last.available === available) return last
        val counts = registered.groupingBy { it.entry.version }.eachCount()
        val grouped = VersionGroups(registered, available, counts.keys, available.groupBy { it.entry.version })
        groups[service] = grouped
        admissions.getOrPut(service) { VersionAdmission() }.recordVersions(counts, clock.now())
        return grouped
    }

    private class VersionGroups(
        val registered: List<TargetLoad>,
        val available: List<TargetLoad>,
        val versions: Set<String>,
        val availableByVersion: Map<String, List<TargetLoad>>,
    )
}
