package org.heatherwind.router.peer

import io.grpc.StatusException
import org.heatherwind.core.ledger.LedgerSnapshot
import org.heatherwind.protocol.peer.FetchLedgerRequest
import org.heatherwind.protocol.record.RecordCodec
import java.util.concurrent.TimeUnit

/** Fetches copies of ledger shards from peers, for a router that cannot read them from the log. */
internal class PeerLedgers(private val membership: Membership, private val connections: PeerConnections) {
    /** The copy of [shard] that reaches furthest among a few peers that follow it, or null. */
    suspend fun fetch(shard: Int): LedgerSnapshot? = membership.instances
        .filter { !membership.isSelf(it.instance) }
        .take(ASKED_PEERS)
        .mapNotNull { fetchFrom(it.peerAddress, shard) }
        .maxByOrNull { it.through }

    private suspend fun fetchFrom(address: String, shard: Int): LedgerSnapshot? = try {
        val reply = connections.at(address)
            .withDeadlineAfter(CALL_MILLISECONDS, TimeUnit.MILLISECONDS)
            .fetchLedger(FetchLedgerRequest.newBuilder().setShard(shard).build())
        if (reply.present) RecordCodec.ledgerSnapshot.decode(reply.snapshot.toByteArray()).getOrNull() else null
    } catch (_: StatusException) {
        null
    }

    private companion object {
        const val ASKED_PEERS = 10
        const val CALL_MILLISECONDS = 2_000L
    }
}
