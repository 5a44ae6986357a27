package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.CustomerId
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/** Borrows tokens from other routers. */
internal fun interface QuotaSource {
    /** Tokens of [customer] that other routers lent together: [neededTokens] or a little more, or fewer. */
    suspend fun acquire(customer: CustomerId, neededTokens: Long): Long
}

/** Asks the routers that [peers] names for a customer, those that hold most first. */
internal class QuotaTransferClient(
    private val client: PeerClient,
    private val log: DecisionLog,
    private val peers: (CustomerId) -> List<InetSocketAddress>,
) : QuotaSource {
    override suspend fun acquire(customer: CustomerId, neededTokens: Long): Long {
        var lent = 0L
        for (peer in peers(customer).take(MAXIMUM_PEERS)) {
            val lentByPeer = ask(peer, QuotaTransferRequest(customer.value, neededTokens - lent + SPARE_TOKENS))
            lent += lentByPeer
            log.stateChange(
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

    /** A peer that does not answer lends nothing; what it charged for the loan then stays unused. */
    private suspend fun ask(peer: InetSocketAddress, request: QuotaTransferRequest): Long =
        client.ask(peer, PATH, request, QuotaTransferRequest.serializer(), QuotaTransferResponse.serializer())
            ?.tokens ?: 0

    companion object {
        /** Where routers answer loans. */
        const val PATH: String = "/loan"

        /** Routers asked for one request. */
        private const val MAXIMUM_PEERS = 5

        /** Borrowed beside the need, so that the next short request needs no call. */
        private const val SPARE_TOKENS = 2_000L
    }
}
