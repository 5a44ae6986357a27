package org.heatherwind.clients.instances

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.InstanceId

/** The platform's list of instances, which lags behind the truth. */
public fun interface InstanceList {
    /** The instances that the platform shows now. */
    public suspend fun read(): Either<InstanceListFailure, List<ListedInstance>>
}

/** The list did not answer. */
public data class InstanceListFailure(val detail: String)

/** Whether an instance stays. */
@Serializable
public enum class InstanceCondition {
    /** It runs. */
    LIVE,

    /** It will stop soon. */
    LEAVING,
}

/** One instance of the list; [peerAddress] is where its router listens for peers, as host:port. */
@Serializable
public data class ListedInstance(
    val instance: InstanceId,
    val peerAddress: String,
    val dataCentre: DataCentreId,
    val condition: InstanceCondition = InstanceCondition.LIVE,
)
