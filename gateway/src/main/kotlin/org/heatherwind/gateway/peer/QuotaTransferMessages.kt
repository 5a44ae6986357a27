package org.heatherwind.gateway.peer

import kotlinx.serialization.Serializable

/** Asks another router for up to [wantedTokens] tokens of [customer]. */
@Serializable
internal data class QuotaTransferRequest(val customer: String, val wantedTokens: Long)

/** The tokens that were lent, 0 where none could be spared. The lender has charged them. */
@Serializable
internal data class QuotaTransferResponse(val tokens: Long)
