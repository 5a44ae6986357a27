package org.heatherwind.gateway.rollout

import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.rollout.RolloutOrder
import org.heatherwind.core.rollout.RolloutPhase
import org.heatherwind.core.rollout.RolloutPolicy
import org.heatherwind.core.rollout.RolloutStatus
import org.heatherwind.core.rollout.ServiceRollout
import org.heatherwind.gateway.telemetry.DecisionLog

/** The newest order of each service and its stored status, as this router knows them. Confined to the event loop. */
internal class Rollouts(
    val policy: RolloutPolicy,
    private val clock: MonotonicClock,
    private val wallClock: () -> Timestamp,
    private val log: DecisionLog,
) {
    private val tracked = HashMap<ServiceId, TrackedRollout>()
    private val statuses = HashMap<ServiceId, RolloutStatus>()

    /** Versions whose roll-out was replaced by another order before it was completed. */
    private val abandonedVersions = HashMap<ServiceId, Set<String>>()

    /** Orders that were replaced by others; a copy of the store may show them again. */
    private val replacedOrders = HashMap<ServiceId, Set<RolloutOrder>>()

    /** Until when orders are recognized by their content, since the store came back from a copy. */
    private var renumberedUntil = MonotonicTime.distantPast

    /** Time of the last read that confirmed all orders to be known. */
    var ordersReadAt = MonotonicTime.distantPast

    /** Time of the last read that confirmed all statuses to be known. */
    var statusesReadAt = MonotonicTime.distantPast

    /** All roll-outs, including the ended ones. */
    val all: Collection<TrackedRollout> get() = tracked.values

    /** Whether a status may still be written, so that statuses have to be read. */
    val isAnyOpen: Boolean get() = tracked.values.any { it.isOpen || it.isPhaseLost }

    /** Whether the roll-outs are known well enough to serve requests. */
    val isReady: Boolean get() = tracked.isEmpty() || statusesReadAt != MonotonicTime.distantPast

    /** Returns the newest roll-out of [service], or null if there was none. */
    fun of(service: ServiceId): TrackedRollout? = tracked[service]

    /** Returns the versions of [service] that may not be used although no order names them any more. */
    fun abandonedVersionsOf(service: ServiceId): Set<String> = abandonedVersions[service].orEmpty()

    /** Returns whether the stored phases are recent enough for a new version to get requests. */
    fun isCurrent(now: MonotonicTime): Boolean = now.millisecondsSince(statusesReadAt) < STATUS_LIFETIME_MILLISECONDS

    /** Adopts [order] if it is newer than the service's last one. Its status is not written before [firstWriteAt]. */
    fun adoptOrder(order: RolloutOrder, firstWriteAt: MonotonicTime) {
        val previous = tracked[order.service]
        if (previous != null && isKnown(order, previous, firstWriteAt)) return
        if (previous != null && previous.rollout.phase != RolloutPhase.Completed) {
            abandon(order.service, previous.rollout.order.targetVersion)
        }
        previous?.rollout?.order?.let { replaced ->
            replacedOrders[order.service] = replacedOrders[order.service].orEmpty() + replaced
        }
        abandonedVersions[order.service] = abandonedVersionsOf(order.service) - order.targetVersion
        tracked[order.service] = TrackedRollout(ServiceRollout(order, policy, clock.now()), firstWriteAt)
        log.stateChange(
            SUBJECT,
            "Read an order for a roll-out.",
            "service" to order.service.value,
            "target" to order.targetVersion,
            "order" to order.offset,
            "durationMilliseconds" to order.durationMilliseconds,
        )
        statuses[order.service]?.let { adoptStatus(it) }
    }

    /** Returns whether [order] is the one of [previous], or an older one; notes a new offset of that one. */
    private fun isKnown(order: RolloutOrder, previous: TrackedRollout, firstWriteAt: MonotonicTime): Boolean {
        val current = previous.rollout.order
        if (clock.now() >= renumberedUntil) return current.offset >= order.offset
        if (!current.isSameAs(order)) return replacedOrders[order.service].orEmpty().any { it.isSameAs(order) }
        previous.rollout.renumber(order.offset)
        previous.isPhaseLost = previous.rollout.phase != null
        previous.nextWriteAt = firstWriteAt
        return true
    }

    /** Called when the store came back from a copy: offsets are void, and phases that were stored may be lost. */
    fun onRestored() {
        renumberedUntil = clock.now().plusMilliseconds(RENUMBERING_MILLISECONDS)
        tracked.values.forEach { it.rollout.renumber(RolloutOrder.NO_OFFSET) }
    }

    /** Adopts the stored [status], unless it belongs to an earlier order or would undo a final phase. */
    fun adoptStatus(status: RolloutStatus) {
        statuses[status.service] = status
        val rollout = tracked[status.service]?.rollout ?: return
        if (status.orderOffset != rollout.order.offset) {
            val isEarlier = status.orderOffset != null && status.orderOffset!! < rollout.order.offset
            val isOtherVersion = status.targetVersion != rollout.order.targetVersion
            if (isEarlier && isOtherVersion && status.phase != RolloutPhase.Completed) {
                abandon(status.service, status.targetVersion)
            }
            return
        }
        if (status.phase == rollout.phase) tracked[status.service]?.isPhaseLost = false
        val remaining = status.endsAt?.let { it.epochMilliseconds - wallClock().epochMilliseconds }
        if (!rollout.adopt(status, clock.now(), remaining)) return
        log.stateChange(
            SUBJECT,
            "The phase of a roll-out changed.",
            "service" to status.service.value,
            "target" to status.targetVersion,
            "order" to rollout.order.offset,
            "phase" to status.phase,
            "answers" to rollout.evidence.introducedAnswers,
        )
    }

    private fun abandon(service: ServiceId, version: String) {
        abandonedVersions[service] = abandonedVersionsOf(service) + version
    }

    companion object {
        /** The subject of log lines about roll-outs. */
        const val SUBJECT = "rollout"

        /** Several times what operators take to write again what a copy of the store lacks. */
        private const val RENUMBERING_MILLISECONDS = 10_000L

        /** Several reads; a router that cannot see a roll-back sends nothing to the new version. */
        private const val STATUS_LIFETIME_MILLISECONDS = 2_500L
    }
}
