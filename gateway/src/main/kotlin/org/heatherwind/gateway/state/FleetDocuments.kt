package org.heatherwind.gateway.state

import arrow.core.Either
import org.heatherwind.core.fleet.RoutingPlan
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.store.StreamPartition

/** Parses the documents that operators and targets write into the store. */
public interface FleetDocuments {
    /** The partition that holds the routing plan. */
    public val planPartition: StreamPartition

    /** The record key of the routing plan. */
    public val planKey: String

    /** The partition in which targets register. */
    public val targetPartition: StreamPartition

    /** Parses [value] into a routing plan, or returns the reason why it is invalid. */
    public fun readPlan(value: ByteArray): Either<String, RoutingPlan>

    /** Parses [value] into the entry of the target with the key [id], or returns the reason why it is unusable. */
    public fun readTarget(id: String, value: ByteArray): Either<String, TargetEntry>
}
