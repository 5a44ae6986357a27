package org.heatherwind.router.peer

import arrow.core.Either
import com.google.protobuf.ByteString
import org.heatherwind.clients.log.LogService
import org.heatherwind.core.ledger.toSnapshot
import org.heatherwind.protocol.peer.ExchangeMessage
import org.heatherwind.protocol.peer.FetchLedgerReply
import org.heatherwind.protocol.peer.FetchLedgerRequest
import org.heatherwind.protocol.peer.HomeGrpcKt
import org.heatherwind.protocol.peer.RelayReply
import org.heatherwind.protocol.peer.RelayRequest
import org.heatherwind.protocol.peer.ReserveReply
import org.heatherwind.protocol.peer.ReserveRequest
import org.heatherwind.protocol.peer.SettleReply
import org.heatherwind.protocol.peer.SettleRequest
import org.heatherwind.protocol.record.RecordCodec
import org.heatherwind.router.shard.ShardRunnerRegistry

/**
 * The gRPC service for peers: reservations and settlements by this shard owner, copies of its ledger state, appends to
 * the log on a peer's behalf, and gossip.
 */
internal class OwnerService(
    private val shards: ShardRunnerRegistry,
    private val log: LogService,
    private val exchange: (ExchangeMessage) -> ExchangeMessage,
) : HomeGrpcKt.HomeCoroutineImplBase() {
    override suspend fun reserve(request: ReserveRequest): ReserveReply =
        shards.getOrStart(request.shard).reserve(request.toEvent()).toMessage()

    override suspend fun settle(request: SettleRequest): SettleReply {
        val isRecorded = shards.getOrStart(request.shard).settle(request.toEvent())
        return SettleReply.newBuilder().setRecorded(isRecorded).build()
    }

    override suspend fun fetchLedger(request: FetchLedgerRequest): FetchLedgerReply {
        val state = shards.findRunning(request.shard)?.state ?: return FetchLedgerReply.getDefaultInstance()
        val snapshot = RecordCodec.ledgerSnapshot.encode(state.ledger.toSnapshot())
        return FetchLedgerReply.newBuilder().setPresent(true).setSnapshot(ByteString.copyFrom(snapshot)).build()
    }

    override suspend fun relay(request: RelayRequest): RelayReply {
        val appended = log.append(request.stream, request.record.toByteArray())
        return RelayReply.newBuilder().setAppended(appended is Either.Right).build()
    }

    override suspend fun exchange(request: ExchangeMessage): ExchangeMessage = exchange.invoke(request)
}
