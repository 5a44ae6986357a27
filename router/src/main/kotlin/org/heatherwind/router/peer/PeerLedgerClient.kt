package org.heatherwind.router.peer

import io.grpc.StatusException
import org.heatherwind.core.ledger.LedgerSnapshot
import org.heatherwind.protocol.peer.FetchLedgerRequest
import org.heatherwind.protocol.record.RecordCodec
import java.util.concurrent.TimeUnit

/** Fetches copies of ledger shards from peers when they cannot be read from the log. */
internal class PeerLedgerClient(private val membership: Membership, private val connections: PeerConnections) {
    /**
     * Requests copies of [shard] from a few peers and returns the one with the highest applied offset, or null if none
     * has a copy.
     */
    suspend fun fetch(shard: Int): LedgerSnapshot? = membership.instances
        .filter { !membership.isSelf(it.instance) }
        .take(MAXIMUM_PEERS)
        .mapNotNull { fetchFrom(it.peerAddress, shard) }
        .maxByOrNull { it.through }

    private suspend fun fetchFrom(address: String, shard: Int): LedgerSnapshot? = try {
        val reply = connections.stubFor(address)
            .withDeadlineAfter(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
            .fetchLedger(FetchLedgerRequest.newBuilder().setShard(shard).build())
        if (reply.present) RecordCodec.ledgerSnapshot.decode(reply.snapshot.toByteArray()).getOrNull() else null
    } catch (_: StatusException) {
        null
    }

    private companion object {
        const val MAXIMUM_PEERS = 10
        const val CALL_TIMEOUT_MILLISECONDS = 2_000L
    }
}
