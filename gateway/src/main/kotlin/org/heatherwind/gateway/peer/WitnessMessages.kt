package org.heatherwind.gateway.peer

import kotlinx.serialization.Serializable

/** A process that keeps ceilings for others while the store is out of reach, and where it listens. */
@Serializable
internal data class WitnessReference(val incarnation: String, val address: String)

/** Asks the process [witness] to keep the [ceilings] of [holder], by customer. */
@Serializable
internal data class StoreCeilingsRequest(val witness: String, val holder: String, val ceilings: Map<String, Long>)

/** Whether the ceilings are kept. They are not once a successor has asked, or by another process than the one meant. */
@Serializable
internal data class StoreCeilingsResponse(val isKept: Boolean)

/** Asks the process [witness] for the last ceilings of [holder], which ended. */
@Serializable
internal data class CloseCeilingsRequest(val witness: String, val holder: String)

/** The last ceilings by customer, or null where another process than the one meant answers. */
@Serializable
internal data class CloseCeilingsResponse(val ceilings: Map<String, Long>? = null)
