package org.heatherwind.gateway.peer

import kotlinx.serialization.Serializable

/** Asks another router for up to [wantedTokens] tokens of [customer]. */
@Serializable
internal data class LoanRequest(val customer: String, val wantedTokens: Long)

/** The tokens that were lent, 0 where none could be spared. The lender has charged them. */
@Serializable
internal data class LoanAnswer(val tokens: Long)
