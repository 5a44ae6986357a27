package org.heatherwind.gateway.peer

import kotlinx.serialization.Serializable

/** Asks another router for tokens of [customer]: [neededTokens] at least, [wantedTokens] at best. */
@Serializable
internal data class LoanRequest(val customer: String, val neededTokens: Long, val wantedTokens: Long)

/** The tokens that were lent, 0 where too few could be spared. The lender has charged them. */
@Serializable
internal data class LoanAnswer(val tokens: Long)
