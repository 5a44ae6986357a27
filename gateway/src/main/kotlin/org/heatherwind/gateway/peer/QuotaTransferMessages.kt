package org.heatherwind.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests a quota transfer of up to [requestedTokens] tokens of [customer]. */
@Serializable
internal data class QuotaTransferRequest(val customer: String, @SerialName("wantedTokens") val requestedTokens: Long)

/** The transferred tokens, 0 if none were available. The responding router has charged them to its own grant. */
@Serializable
internal data class QuotaTransferResponse(val tokens: Long)
