package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.CustomerId
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/** Gets tokens from other routers by quota transfers. */
internal fun interface QuotaSource {
    /**
     * Requests [neededTokens] of [customer] from other routers. Returns the total of received tokens, which may be
     * smaller, or slightly larger to serve the next request.
     */
    suspend fun acquire(customer: CustomerId, neededTokens: Long): Long
}

/**
 * Requests quota transfers from other routers, one after the other.
 *
 * @param peers returns the addresses of routers that may hold tokens of a customer, the largest holding first
 */
internal class QuotaTransferClient(
    private val client: PeerClient,
    private val log: DecisionLog,
    private val peers: (CustomerId) -> List<InetSocketAddress>,
) : QuotaSource {
    override suspend fun acquire(customer: CustomerId, neededTokens: Long): Long {
        var received = 0L
        for (peer in peers(customer).take(MAXIMUM_PEERS)) {
            val request = QuotaTransferRequest(customer.value, neededTokens - received + EXTRA_TOKENS)
            val receivedFromPeer = requestFrom(peer, request)
            received += receivedFromPeer
            log.stateChange(
                "budget",
                "Requested a quota transfer from another router.",
                "customer" to customer.value,
                "needed" to neededTokens,
                "peer" to peer.toString(),
                "lent" to receivedFromPeer,
            )
            if (received >= neededTokens) break
        }
        return received
    }

    /**
     * Returns the tokens received from [peer], 0 without a response. If only the response is lost, the peer has charged
     * the tokens to its grant, and no router can use them.
     */
    private suspend fun requestFrom(peer: InetSocketAddress, request: QuotaTransferRequest): Long =
        client.call(peer, PATH, request, QuotaTransferRequest.serializer(), QuotaTransferResponse.serializer())
            ?.tokens ?: 0

    companion object {
        /** Path of the endpoint for quota transfers. */
        const val PATH: String = "/loan"

        /** Maximum number of routers that are called for one request. */
        private const val MAXIMUM_PEERS = 5

        /** Requested in addition to the missing tokens, so that the next small reservation needs no call. */
        private const val EXTRA_TOKENS = 2_000L
    }
}
