package org.heatherwind.gateway.state

import org.heatherwind.core.fleet.CallerLimits
import org.heatherwind.core.fleet.RouteTable
import org.heatherwind.core.fleet.RoutingPlan
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.target.TargetDirectory

/** What this router knows of the fleet. Confined to the event loop. */
internal class FleetState {
    private val loads = HashMap<TargetId, TargetLoad>()
    private val candidates = HashMap<ServiceId, List<TargetLoad>>()

    /** Routes and customers of the newest plan, or null before the first one was read. */
    var routes: RouteTable? = null
        private set

    /** The targets that may get work. */
    var directory = TargetDirectory()
        private set

    /** When the routing plan was last known to be the newest. */
    var planCheckedAt = MonotonicTime.distantPast

    /** Whether the list of targets was read at least once. */
    var isDirectoryRead = false

    /** Whether requests can be served at all. */
    val isReady: Boolean get() = routes != null && isDirectoryRead

    /** Bounds on callers, by the newest plan. */
    val limits: CallerLimits get() = routes?.plan?.limits ?: CallerLimits()

    /** Takes [plan] unless it is older than the present one. Answers whether it was taken. */
    fun adoptPlan(plan: RoutingPlan): Boolean {
        val present = routes?.plan
        if (present != null && plan.version <= present.version) return false
        routes = RouteTable(plan)
        return true
    }

    /** Takes [changed], and forgets what was learnt of targets that are gone or started again. */
    fun adoptDirectory(changed: TargetDirectory) {
        if (changed === directory) return
        directory = changed
        candidates.clear()
        loads.keys.retainAll(changed.entries.keys)
        changed.entries.forEach { (id, entry) ->
            val known = loads[id]
            if (known == null || !known.entry.isSameProcessAs(entry)) {
                loads[id] = TargetLoad(entry)
            } else {
                known.entry = entry
            }
        }
    }

    /** What is known of the load of [target], or null where the list does not name it. */
    fun loadOf(target: TargetId): TargetLoad? = loads[target]

    /** Targets of [service] that take new work. */
    fun candidatesOf(service: ServiceId): List<TargetLoad> = candidates.getOrPut(service) {
        directory.candidatesOf(service).mapNotNull { loads[it.id] }
    }
}
