package org.heatherwind.gateway.rollout

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.heatherwind.core.fleet.RoutingPlan
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.rollout.RolloutOrder
import org.heatherwind.core.rollout.RolloutPhase
import org.heatherwind.core.rollout.RolloutStatus
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.state.FleetDocuments
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.StreamPartition

/** Documents of roll-outs as words separated by spaces. */
internal object TextDocuments : FleetDocuments {
    override val planPartition = StreamPartition("orders")
    override val planKey = "plan"
    override val targetPartition = StreamPartition("targets")
    override val statusPartition = StreamPartition("statuses")

    override fun readPlan(value: ByteArray): Either<String, RoutingPlan> = "no plans here".left()

    override fun readTarget(id: String, value: ByteArray): Either<String, TargetEntry> = "no targets here".left()

    override fun rolloutServiceOf(key: String): ServiceId? =
        key.takeIf { it.startsWith("rollout/") }?.let { ServiceId(it.removePrefix("rollout/")) }

    override fun readRolloutOrder(service: ServiceId, offset: Long, value: ByteArray): Either<String, RolloutOrder> {
        val words = value.decodeToString().split(' ')
        val duration = words.getOrNull(1)?.toLongOrNull() ?: return "no duration".left()
        return RolloutOrder(service, words.first(), offset, duration).right()
    }

    override fun evacuatedDataCentreOf(key: String): DataCentreId? =
        key.takeIf { it.startsWith("empty/") }?.let { DataCentreId(it.removePrefix("empty/")) }

    override fun readEvacuation(dataCentre: DataCentreId, value: ByteArray): Either<String, Unit> =
        if (value.decodeToString() == "now") Unit.right() else "not an order".left()

    override fun readRolloutStatus(service: ServiceId, value: ByteArray): Either<String, RolloutStatus> {
        val words = value.decodeToString().split(' ')
        if (words.size < 3) return "not a status".left()
        val phase = RolloutPhase.valueOf(words[1])
        return RolloutStatus(service, words[0], phase, words[2].toLong(), endsAt = null).right()
    }

    override fun rolloutStatusRecord(status: RolloutStatus): NewRecord = NewRecord(
        "rollout/${status.service.value}",
        "${status.targetVersion} ${status.phase} ${status.orderOffset}".encodeToByteArray(),
    )

    /** The record of an order to move [service] to [version]. */
    fun order(service: ServiceId, version: String, durationMilliseconds: Long): NewRecord =
        NewRecord("rollout/${service.value}", "$version $durationMilliseconds".encodeToByteArray())
}
