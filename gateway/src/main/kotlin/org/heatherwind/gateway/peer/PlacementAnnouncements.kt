package org.heatherwind.gateway.peer

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.TokenDemand
import org.heatherwind.gateway.document.BoundedJson
import org.heatherwind.gateway.telemetry.DecisionLog
import java.net.InetSocketAddress

/**
 * Exchanges announcements of long prompts with other routers, by datagrams. Load reports of targets arrive with a
 * delay, in which several routers would choose the same idle target. After the loss of a datagram, a router may choose
 * a less suitable target.
 *
 * @param peers addresses of other routers
 * @param loadOf returns the load of a registered target, or null if the target is unknown
 */
internal class PlacementAnnouncements(
    private val group: EventLoopGroup,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val peers: () -> List<InetSocketAddress>,
    private val loadOf: (TargetId) -> TargetLoad?,
) {
    private var channel: Channel? = null

    /** Listens on [address]; throws an exception if the address is in use. */
    fun listen(address: InetSocketAddress) {
        channel = Bootstrap().group(group).channel(NioDatagramChannel::class.java).handler(Receiver())
            .bind(address).syncUninterruptibly().channel()
    }

    /** Announces [placement] to other routers, unless its prefill is short. */
    fun announce(placement: Placement, tokens: TokenDemand) {
        val sender = channel ?: return
        if (placement.prefillMilliseconds < MINIMUM_PREFILL_MILLISECONDS) return
        send(sender, encode(placement, tokens, clock.now()))
    }

    /** Announces that the brittle [target] has refused a request. */
    fun announceRefusal(target: TargetId) {
        val sender = channel ?: return
        val announcement = RefusalStatement(target).toAnnouncement()
        send(sender, listOf(Json.encodeToString(PlacementAnnouncement.serializer(), announcement)))
    }

    private fun send(sender: Channel, announcements: List<String>) {
        val datagrams = announcements.map { it.encodeToByteArray() }
        val peers = peers()
        val receiverCount = receiverCount(peers.size)
        val receivers = if (peers.size > receiverCount) peers.shuffled().take(receiverCount) else peers
        receivers.forEach { receiver ->
            datagrams.forEach { sender.write(DatagramPacket(Unpooled.wrappedBuffer(it), receiver)) }
        }
        sender.flush()
    }

    private fun recordAnnouncement(announcement: PlacementAnnouncement, sender: InetSocketAddress) {
        SpeedStatement.from(announcement)?.let { return recordSpeed(it, sender) }
        RefusalStatement.from(announcement)?.let { statement ->
            loadOf(statement.target)?.brittleness?.recordRefusedElsewhere(clock.now())
            return
        }
        val load = loadOf(TargetId(announcement.target)) ?: return
        val parts = announcement.parts.map { PromptPart(it.key, it.tokens) }
        load.recordAnnounced(announcement.prefillMilliseconds.toDouble(), parts, clock.now())
    }

    private fun recordSpeed(statement: SpeedStatement, sender: InetSocketAddress) {
        val load = loadOf(statement.target)?.takeIf { it.speed.isStated } ?: return
        load.learnedSlowness.recordStated(statement.slownessPercent / PERCENT, sender.toString(), clock.now())
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val text = packet.content().toString(Charsets.UTF_8)
            try {
                recordAnnouncement(BoundedJson.decode(PlacementAnnouncement.serializer(), text), packet.sender())
            } catch (failure: SerializationException) {
                log.stateChange(
                    "placement",
                    "Ignored an announcement that could not be parsed.",
                    "reason" to failure.message,
                )
            }
        }

        @Deprecated("the overridden method of Netty is deprecated")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // The host of a stopped peer may report its port as unreachable; the channel stays usable.
            log.stateChange("placement", "A datagram could not be sent or received.", "reason" to cause.message)
        }
    }

    internal companion object {
        /** Returns to how many of [peers] other routers a prompt is announced. */
        fun receiverCount(peers: Int): Int = when {
            peers <= MAXIMUM_PEERS -> peers
            else -> (MAXIMUM_PEERS * MAXIMUM_PEERS / peers).coerceAtLeast(MINIMUM_PEERS)
        }

        /** Returns the announcement of [placement], and this router's statement of the target's speed if it has one. */
        fun encode(placement: Placement, tokens: TokenDemand, now: MonotonicTime): List<String> {
            val announcement = PlacementAnnouncement(
                target = placement.target.entry.id.value,
                prefillMilliseconds = placement.prefillMilliseconds.toLong(),
                parts = tokens.sharedParts.map { AnnouncedPart(it.key, it.tokens) },
            )
            return listOfNotNull(announcement, SpeedStatement.of(placement.target, now)?.toAnnouncement())
                .map { Json.encodeToString(PlacementAnnouncement.serializer(), it) }
        }

        private const val PERCENT = 100.0

        /** Shorter prefills delay other requests by less than the normal latency difference between targets. */
        private const val MINIMUM_PREFILL_MILLISECONDS = 15.0

        /**
         * All routers of a fleet of this size hear of each prompt. Of larger ones fewer do, since each router sends a
         * smaller part of the prompts, and reading an announcement costs about as much as it may save.
         */
        private const val MAXIMUM_PEERS = 24

        /** Random samples reach every router within some announcements. */
        private const val MINIMUM_PEERS = 6
    }
}
