package org.heatherwind.router.peer

import com.google.protobuf.ByteString
import io.grpc.StatusException
import kotlinx.coroutines.delay
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.protocol.peer.ConfigurationCopy
import org.heatherwind.protocol.peer.ExchangeMessage
import org.heatherwind.protocol.record.RecordCodec
import org.heatherwind.router.configuration.ConfigurationReplica
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Gossips with peers. Each round exchanges the configuration version with a few random peers, sends the configuration
 * to the side whose version is lower, and records the incarnation of each peer that responds.
 */
internal class PeerGossip(
    private val self: Incarnation,
    private val membership: Membership,
    private val connections: PeerConnections,
    private val configuration: ConfigurationReplica,
) {
    private val incarnations = ConcurrentHashMap<InstanceId, Incarnation>()
    private val random = Random(self.value.hashCode())

    /** Runs gossip rounds until cancelled. */
    suspend fun run() {
        while (true) {
            val peers = membership.instances.filter { !membership.isSelf(it.instance) }
            peers.shuffled(random).take(PEERS_PER_ROUND).forEach { gossipWith(it.peerAddress) }
            delay(ROUND_INTERVAL_MILLISECONDS)
        }
    }

    /** Adopts the configuration in a peer's [message] if it is newer, and returns the reply. */
    fun respond(message: ExchangeMessage): ExchangeMessage {
        adoptConfiguration(message)
        return messageFor(message.configurationVersion)
    }

    private suspend fun gossipWith(address: String) {
        val stub = connections.stubFor(address).withDeadlineAfter(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        try {
            val reply = stub.exchange(messageFor(Long.MAX_VALUE))
            adoptConfiguration(reply)
            if (reply.configurationVersion < configuration.state.current.version) {
                stub.exchange(messageFor(reply.configurationVersion))
            }
            Incarnation(reply.sender).let { incarnations[it.instance] = it }
        } catch (_: StatusException) {
            return
        }
    }

    private fun messageFor(peerVersion: Long): ExchangeMessage {
        val current = configuration.state.current
        val builder = ExchangeMessage.newBuilder().setSender(self.value).setConfigurationVersion(current.version)
        if (peerVersion < current.version) {
            val document = ByteString.copyFrom(RecordCodec.configurationVersion.encode(current))
            builder.setConfiguration(ConfigurationCopy.newBuilder().setVersion(current.version).setDocument(document))
        }
        return builder.build()
    }

    private fun adoptConfiguration(message: ExchangeMessage) {
        if (!message.hasConfiguration()) return
        RecordCodec.configurationVersion.decode(message.configuration.document.toByteArray())
            .onRight { configuration.adopt(it) }
    }

    /** The last known incarnation of each peer that responded. */
    val latestIncarnations: Collection<Incarnation> get() = incarnations.values

    /** Returns whether a process that started later than [process] responded on the same instance. */
    fun hasSuccessor(process: Incarnation): Boolean {
        val latest = incarnations[process.instance] ?: return false
        return latest != process && latest.startedAt > process.startedAt
    }

    private companion object {
        const val PEERS_PER_ROUND = 3
        const val ROUND_INTERVAL_MILLISECONDS = 500L
        const val CALL_TIMEOUT_MILLISECONDS = 1_000L
    }
}
