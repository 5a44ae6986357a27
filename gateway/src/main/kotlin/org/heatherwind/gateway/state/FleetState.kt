package org.heatherwind.gateway.state

import org.heatherwind.core.fleet.CallerLimits
import org.heatherwind.core.fleet.RouteTable
import org.heatherwind.core.fleet.RoutingPlan
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.PaceCause
import org.heatherwind.core.placement.PaceSharing
import org.heatherwind.core.placement.TargetHistory
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.target.Evacuations
import org.heatherwind.core.target.TargetDirectory
import org.heatherwind.core.target.TargetEntry
import java.net.InetSocketAddress
import kotlin.random.Random

/**
 * This router's state of the fleet: routes, targets and their load. Confined to the event loop.
 *
 * @param drawReluctance draws a number from 0 to 1 for a target in one choice, see [TargetLoad]
 * @param paceSharingOf returns what the paces of a service's targets share
 */
internal class FleetState(
    private val drawReluctance: () -> Double = Random.Default::nextDouble,
    private val paceSharingOf: (ServiceId) -> PaceSharing = { PaceSharing() },
) {
    private val loads = HashMap<TargetId, TargetLoad>()

    /** What is known of removed targets, which may come back; of the last ones only. */
    private val removed = object : LinkedHashMap<TargetId, TargetHistory>() {
        override fun removeEldestEntry(eldest: Map.Entry<TargetId, TargetHistory>): Boolean = size > MAXIMUM_REMOVED
    }
    private val registered = HashMap<ServiceId, List<TargetLoad>>()
    private val candidates = HashMap<ServiceId, List<TargetLoad>>()

    /** Routes and customers of the newest plan, or null until the first plan has been read. */
    var routes: RouteTable? = null
        private set

    /** The registered targets. */
    var directory = TargetDirectory()
        private set

    /** The evacuated data centres. */
    var evacuations = Evacuations()
        private set

    /** Time of the last read that confirmed [routes] to be of the newest plan. */
    var planCheckedAt = MonotonicTime.distantPast

    /** Whether the list of targets has been read at least once. */
    var isDirectoryRead = false

    /** Whether both a routing plan and the list of targets have been read, so that requests can be served. */
    val isReady: Boolean get() = routes != null && isDirectoryRead

    /** Limits on callers, from the newest plan. */
    val limits: CallerLimits get() = routes?.plan?.limits ?: CallerLimits()

    /** Adopts [plan] if its version is newer than the current one. Returns whether it was adopted. */
    fun adoptPlan(plan: RoutingPlan): Boolean {
        val current = routes?.plan
        if (current != null && plan.version <= current.version) return false
        routes = RouteTable(plan)
        return true
    }

    /** Adopts [updated], read at [now], and discards the recorded load of targets that were removed or restarted. */
    fun adoptDirectory(updated: TargetDirectory, now: MonotonicTime = MonotonicTime.distantPast) {
        val isUnchanged = updated.entries === directory.entries
        directory = updated
        if (isUnchanged) return
        registered.clear()
        candidates.clear()
        loads.values.filter { it.entry.id !in updated.entries }
            .forEach { removed[it.entry.id] = it.toHistory() }
        loads.keys.retainAll(updated.entries.keys)
        updated.entries.values.forEach { adoptEntry(it, now) }
        targetAddresses = updated.entries.values.mapTo(HashSet()) { InetSocketAddress(it.host, it.port) }
    }

    private fun adoptEntry(entry: TargetEntry, now: MonotonicTime) {
        val existing = loads[entry.id]
        if (existing != null && existing.entry.isSameProcessAs(entry)) {
            existing.entry = entry
            return
        }
        val history = historyOf(entry, existing)
        val load = TargetLoad(entry, paceSharingOf(entry.service), drawReluctance, history)
        causeOfReturn(entry, existing)?.let { load.pace.begin(it, now) }
        loads[entry.id] = load
    }

    /** Returns what is known of the process of [entry], although its entry was removed or has changed. */
    private fun historyOf(entry: TargetEntry, existing: TargetLoad?): TargetHistory? =
        (existing?.toHistory() ?: removed.remove(entry.id))?.takeIf { it.entry.isSameLifeAs(entry) }

    /** Returns why the pace of [entry] is to be found, or null if it is one of all targets that are unknown. */
    private fun causeOfReturn(entry: TargetEntry, existing: TargetLoad?): PaceCause? = when {
        !isDirectoryRead || existing?.entry?.isSameLifeAs(entry) == true -> null
        existing == null -> PaceCause.ADDED
        else -> PaceCause.RESTARTED
    }

    /** Number of targets whose pace is limited at present, by service. */
    val limitedTargets: Map<String, Double>
        get() = loads.values.groupBy { it.entry.service.value }
            .mapValues { (_, targets) -> targets.count { it.pace.isLimited }.toDouble() }

    /** Addresses of the registered targets. */
    var targetAddresses: Set<InetSocketAddress> = emptySet()
        private set

    /** Returns whether a registered target has [address]. */
    fun isTargetAddress(address: InetSocketAddress): Boolean = address in targetAddresses

    /** The load of [target], or null if the target is not registered. */
    fun loadOf(target: TargetId): TargetLoad? = loads[target]

    /** Called when the offsets of all entries received before are void. */
    fun forgetOffsets(): Unit = loads.values.forEach { it.coldStatements.forgetOffset() }

    /** Adopts the evacuations in force at [now]. Targets whose evacuation has ended are eased in. */
    fun adoptEvacuations(updated: Evacuations, now: MonotonicTime) {
        if (updated === evacuations) return
        val ended = evacuations.dataCentres - updated.dataCentres
        evacuations = updated
        candidates.clear()
        loads.values.filter { it.entry.dataCentre in ended }
            .forEach { it.pace.begin(PaceCause.EVACUATION_ENDED, now) }
    }

    /** Whether [target] is in an evacuated data centre, so that it gets no new requests. */
    fun isEvacuated(target: TargetLoad): Boolean = target.entry.dataCentre in evacuations

    /** Targets of [service] that accept new requests, also those in evacuated data centres. */
    fun registeredOf(service: ServiceId): List<TargetLoad> = registered.getOrPut(service) {
        directory.candidatesOf(service).mapNotNull { loads[it.id] }
    }

    /** Targets of [service] that may get new requests. */
    fun candidatesOf(service: ServiceId): List<TargetLoad> = candidates.getOrPut(service) {
        registeredOf(service).filterNot { isEvacuated(it) }
    }

    /** Whether all targets of [service] are in evacuated data centres. */
    fun isEvacuated(service: ServiceId): Boolean = registeredOf(service).isNotEmpty() && candidatesOf(service).isEmpty()

    /** The services all of whose targets are in evacuated data centres. */
    fun evacuatedServices(): List<ServiceId> =
        directory.entries.values.mapTo(LinkedHashSet()) { it.service }.filter { isEvacuated(it) }

    private companion object {
        /** Several times the targets that leave within the time in which an entry may reappear. */
        const val MAXIMUM_REMOVED = 1_000
    }
}
