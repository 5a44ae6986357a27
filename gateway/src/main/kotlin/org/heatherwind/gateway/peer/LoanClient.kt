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
    /** Tokens of [customer] that other routers lent together: [neededTokens] or a little more, or fewer. */
    suspend fun borrow(customer: CustomerId, neededTokens: Long): Long
}

/** Asks the routers that [peers] names for a customer, those that hold most first. */
internal class LoanClient(
    private val caller: HttpCaller,
    private val log: DecisionLog,
    private val peers: (CustomerId) -> List<InetSocketAddress>,
) : TokenLender {
    override suspend fun borrow(customer: CustomerId, neededTokens: Long): Long {
        var lent = 0L
        for (peer in peers(customer).take(MAXIMUM_PEERS)) {
            val lentByPeer = ask(peer, LoanRequest(customer.value, neededTokens - lent + SPARE_TOKENS))
            lent += lentByPeer
            log.belief(
                "budget",
                "Asked another router for tokens.",
                "customer" to customer.value,
                "needed" to neededTokens,
                "peer" to peer.toString(),
                "lent" to lentByPeer,
            )
            if (lent >= neededTokens) break
        }
        return lent
    }

    private suspend fun ask(peer: InetSocketAddress, request: LoanRequest): Long {
        val body = Json.encodeToString(LoanRequest.serializer(), request).encodeToByteArray()
        return tokensOf(caller.call(peer, HttpMethod.POST, "/loan", body, TIMEOUT_MILLISECONDS))
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

        /** Many times the delay between data centres; a peer that is cut off must not hold up the request. */
        const val TIMEOUT_MILLISECONDS = 60L

        /** Borrowed beside the need, so that the next short request needs no call. */
        const val SPARE_TOKENS = 2_000L
    }
}
