package org.heatherwind.clients.instances

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.InstanceId

/** The platform's list of instances. It may be out of date. */
public fun interface InstanceList {
    /** Returns the instances currently listed. */
    public suspend fun read(): Either<InstanceListFailure, List<ListedInstance>>
}

/** The instance list could not be read. */
public data class InstanceListFailure(val detail: String)

/** Lifecycle state of an instance. */
@Serializable
public enum class InstanceCondition {
    /** The instance is running. */
    LIVE,

    /** The instance is about to stop. */
    LEAVING,
}

/** One listed instance. [peerAddress] is the host:port on which its router listens for other routers. */
@Serializable
public data class ListedInstance(
    val instance: InstanceId,
    val peerAddress: String,
    val dataCentre: DataCentreId,
    val condition: InstanceCondition = InstanceCondition.LIVE,
)
