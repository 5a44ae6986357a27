package org.heatherwind.gateway.peer

import kotlinx.serialization.Serializable

/** Requests a quota transfer of up to [wantedTokens] tokens of [customer]. */
@Serializable
internal data class QuotaTransferRequest(val customer: String, val wantedTokens: Long)

/** The transferred tokens, 0 if none were available. The responding router has charged them to its own grant. */
@Serializable
internal data class QuotaTransferResponse(val tokens: Long)
