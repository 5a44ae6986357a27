package org.heatherwind.gateway.peer

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.gateway.http.CallOutcome
import org.heatherwind.gateway.http.HttpCaller
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/** Borrows tokens from other routers. */
internal fun interface TokenLender {
    /** Tokens of [customer] that another router lent, 0 where none could: [neededTokens] or more. */
    suspend fun borrow(customer: CustomerId, neededTokens: Long): Long
}

/** Asks the routers that [peers] names for a customer, those that hold most first. */
internal class LoanClient(
    private val caller: HttpCaller,
    private val log: DecisionLog,
    private val peers: (CustomerId) -> List<InetSocketAddress>,
) : TokenLender {
    override suspend fun borrow(customer: CustomerId, neededTokens: Long): Long {
        val request = LoanRequest(customer.value, neededTokens, neededTokens + SPARE_TOKENS)
        val body = Json.encodeToString(LoanRequest.serializer(), request).encodeToByteArray()
        for (peer in peers(customer).take(MAXIMUM_PEERS)) {
            val lent = tokensOf(caller.call(peer, HttpMethod.POST, "/loan", body, TIMEOUT_MILLISECONDS))
            log.belief(
                "budget",
                "Asked another router for tokens.",
                "customer" to customer.value,
                "needed" to neededTokens,
                "peer" to peer.toString(),
                "lent" to lent,
            )
            if (lent > 0) return lent
        }
        return 0
    }

    /** An answer that did not come or cannot be read lends nothing; what the peer charged for it stays unused. */
    private fun tokensOf(outcome: CallOutcome): Long = when (outcome) {
        is CallOutcome.NotSent, is CallOutcome.NoAnswer -> 0

        is CallOutcome.Answered -> try {
            Json.decodeFromString(LoanAnswer.serializer(), outcome.body.decodeToString()).tokens
        } catch (_: SerializationException) {
            0
        }
    }

    private companion object {
        /** Routers asked for one request. */
        const val MAXIMUM_PEERS = 5

        /** A lender may ask the store first. */
        const val TIMEOUT_MILLISECONDS = 250L

        /** Borrowed beside the need, so that the next requests need no call. */
        const val SPARE_TOKENS = 15_000L
    }
}
