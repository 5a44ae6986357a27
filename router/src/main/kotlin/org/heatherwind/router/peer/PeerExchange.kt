package org.heatherwind.router.peer

import com.google.protobuf.ByteString
import io.grpc.StatusException
import kotlinx.coroutines.delay
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.protocol.peer.ConfigurationCopy
import org.heatherwind.protocol.peer.ExchangeMessage
import org.heatherwind.protocol.record.RecordCodec
import org.heatherwind.router.configuration.ConfigurationKeeper
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Exchanges the highest configuration version with a few peers at a time, and learns their incarnations. */
internal class PeerExchange(
    private val self: Incarnation,
    private val membership: Membership,
    private val connections: PeerConnections,
    private val configuration: ConfigurationKeeper,
) {
    private val incarnations = ConcurrentHashMap<InstanceId, Incarnation>()
    private val random = Random(self.value.hashCode())

    /** Exchanges until cancelled. */
    suspend fun run() {
        while (true) {
            val peers = membership.instances.filter { !membership.isSelf(it.instance) }
            peers.shuffled(random).take(PEERS_A_ROUND).forEach { exchangeWith(it.peerAddress) }
            delay(ROUND_MILLISECONDS)
        }
    }

    /** Answers a peer's message. */
    fun answer(message: ExchangeMessage): ExchangeMessage {
        learn(message)
        return messageFor(message.configurationVersion)
    }

    private suspend fun exchangeWith(address: String) {
        val stub = connections.at(address).withDeadlineAfter(CALL_MILLISECONDS, TimeUnit.MILLISECONDS)
        try {
            val reply = stub.exchange(messageFor(Long.MAX_VALUE))
            learn(reply)
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

    private fun learn(message: ExchangeMessage) {
        if (!message.hasConfiguration()) return
        RecordCodec.configurationVersion.decode(message.configuration.document.toByteArray())
            .onRight { configuration.learn(it) }
    }

    /** The processes that answered, the last of each instance. */
    val knownProcesses: Collection<Incarnation> get() = incarnations.values

    /** Whether a later process than [process] answered on its instance. */
    fun isReplaced(process: Incarnation): Boolean {
        val seen = incarnations[process.instance] ?: return false
        return seen != process && seen.startedAt > process.startedAt
    }

    private companion object {
        const val PEERS_A_ROUND = 3
        const val ROUND_MILLISECONDS = 500L
        const val CALL_MILLISECONDS = 1_000L
    }
}
