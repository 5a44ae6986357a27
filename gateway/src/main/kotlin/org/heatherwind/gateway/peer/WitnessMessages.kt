package org.heatherwind.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A process that stores ceilings of other routers while the store is unreachable, and its address as `host:port`. */
@Serializable
internal data class WitnessReference(val incarnation: String, val address: String)

/** Requests that the process [witness] stores the [ceilings] of [holder], in tokens by customer. */
@Serializable
internal data class StoreCeilingsRequest(val witness: String, val holder: String, val ceilings: Map<String, Long>)

/**
 * Whether the ceilings are stored. They are rejected once a successor has closed them, and if the request names a
 * process other than the receiver.
 */
@Serializable
internal data class StoreCeilingsResponse(@SerialName("isKept") val isStored: Boolean)

/** Requests the last ceilings of [holder], a process that has ended, from the process [witness]. */
@Serializable
internal data class CloseCeilingsRequest(val witness: String, val holder: String)

/** The last ceilings, in tokens by customer, or null if the request names a process other than the receiver. */
@Serializable
internal data class CloseCeilingsResponse(val ceilings: Map<String, Long>? = null)
