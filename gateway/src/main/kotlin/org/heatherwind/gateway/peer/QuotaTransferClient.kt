package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
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
 * Requests quota transfers from other routers, one after the other. A router that did not respond is not called again
 * for a while, so that requests wait only once for each router that is cut off.
 *
 * @param peers returns the addresses of routers that may hold tokens of a customer, the largest holding first
 */
internal class QuotaTransferClient(
    private val client: PeerClient,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val peers: (CustomerId) -> List<InetSocketAddress>,
) : QuotaSource {
    private val suspectedUntil = HashMap<InetSocketAddress, MonotonicTime>()

    override suspend fun acquire(customer: CustomerId, neededTokens: Long): Long {
        var received = 0L
        var failures = 0
        for (peer in peers(customer).filterNot { isSuspected(it) }.take(MAXIMUM_PEERS)) {
            val request = QuotaTransferRequest(customer.value, neededTokens - received + EXTRA_TOKENS)
            val receivedFromPeer = requestFrom(peer, request)
            received += receivedFromPeer ?: 0
            log.stateChange(
                "budget",
                "Requested a quota transfer from another router.",
                "customer" to customer.value,
                "needed" to neededTokens,
                "peer" to peer.toString(),
                "lent" to receivedFromPeer,
            )
            if (receivedFromPeer == null) failures++
            if (received >= neededTokens || failures >= MAXIMUM_FAILURES) break
        }
        return received
    }

    private fun isSuspected(peer: InetSocketAddress): Boolean = suspectedUntil[peer]?.let { clock.now() < it } == true

    /**
     * Returns the tokens received from [peer], or null without a response. If only the response is lost, the peer has
     * charged the tokens to its grant, and no router can use them.
     */
    private suspend fun requestFrom(peer: InetSocketAddress, request: QuotaTransferRequest): Long? {
        val response =
            client.call(peer, PATH, request, QuotaTransferRequest.serializer(), QuotaTransferResponse.serializer())
        if (response == null) {
            suspectedUntil[peer] = clock.now().plusMilliseconds(SUSPICION_MILLISECONDS)
        } else {
            suspectedUntil -= peer
        }
        return response?.tokens
    }

    companion object {
        /** Path of the endpoint for quota transfers. */
        const val PATH: String = "/loan"

        /** Maximum number of routers that are called for one request. */
        private const val MAXIMUM_PEERS = 5

        /** After this many calls without a response, this router itself is probably cut off. */
        private const val MAXIMUM_FAILURES = 2

        /** Partitions last for seconds; a router that only paused responds again after this time. */
        private const val SUSPICION_MILLISECONDS = 1_000L

        /** Requested in addition to the missing tokens, so that the next small reservation needs no call. */
        private const val EXTRA_TOKENS = 2_000L
    }
}
