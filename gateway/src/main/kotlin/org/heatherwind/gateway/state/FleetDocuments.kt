package org.heatherwind.gateway.state

import arrow.core.Either
import org.heatherwind.core.fleet.RoutingPlan
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.rollout.RolloutOrder
import org.heatherwind.core.rollout.RolloutStatus
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.store.NewRecord
import org.heatherwind.gateway.store.StreamPartition

/** Parses the documents that operators and targets write into the store. */
public interface FleetDocuments {
    /** The partition that holds the routing plan. */
    public val planPartition: StreamPartition

    /** The record key of the routing plan. */
    public val planKey: String

    /** The partition in which targets register. */
    public val targetPartition: StreamPartition

    /** The partition in which the statuses of roll-outs are stored. */
    public val statusPartition: StreamPartition

    /** Parses [value] into a routing plan, or returns the reason why it is invalid. */
    public fun readPlan(value: ByteArray): Either<String, RoutingPlan>

    /** Parses [value] into the entry of the target with the key [id], or returns the reason why it is unusable. */
    public fun readTarget(id: String, value: ByteArray): Either<String, TargetEntry>

    /** Returns the service whose roll-out the record [key] is about, or null if it is about something else. */
    public fun rolloutServiceOf(key: String): ServiceId?

    /** Parses [value], stored at [offset], into an order for [service], or returns the reason why it is invalid. */
    public fun readRolloutOrder(service: ServiceId, offset: Long, value: ByteArray): Either<String, RolloutOrder>

    /**
     * Returns the data centre that the record [key] orders to evacuate, or null if it is about something else. Its name
     * may be empty.
     */
    public fun evacuatedDataCentreOf(key: String): DataCentreId?

    /** Returns nothing if [value] is a valid order to evacuate [dataCentre], or the reason why it is invalid. */
    public fun readEvacuation(dataCentre: DataCentreId, value: ByteArray): Either<String, Unit>

    /** Parses [value] into the status of the roll-out of [service], or returns the reason why it is invalid. */
    public fun readRolloutStatus(service: ServiceId, value: ByteArray): Either<String, RolloutStatus>

    /** Returns the record that stores [status]. */
    public fun rolloutStatusRecord(status: RolloutStatus): NewRecord
}
