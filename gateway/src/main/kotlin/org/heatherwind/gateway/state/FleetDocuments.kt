package org.heatherwind.gateway.state

import arrow.core.Either
import org.heatherwind.core.fleet.RoutingPlan
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.store.StreamPartition

/** Reads what operators and targets write into the store. */
public interface FleetDocuments {
    /** Where the routing plan lies. */
    public val planPartition: StreamPartition

    /** The key of the routing plan. */
    public val planKey: String

    /** Where targets register. */
    public val targetPartition: StreamPartition

    /** The plan in [value], or why it cannot be read. */
    public fun readPlan(value: ByteArray): Either<String, RoutingPlan>

    /** The entry of the target with the key [id], or why it names no target to use. */
    public fun readTarget(id: String, value: ByteArray): Either<String, TargetEntry>
}
