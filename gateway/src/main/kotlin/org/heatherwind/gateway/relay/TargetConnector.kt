package org.heatherwind.gateway.relay

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.reach.ConnectFailure
import org.heatherwind.core.reach.TargetReach
import org.heatherwind.gateway.http.ClientConnection
import org.heatherwind.gateway.http.ConnectResult
import org.heatherwind.gateway.http.ConnectionPool
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.heatherwind.gateway.telemetry.loggingFailures
import java.net.InetSocketAddress

/**
 * Opens connections to targets: directly, or through other routers while this one is cut off from all targets.
 * Confined to the event loop.
 *
 * @param direct opens direct connections
 * @param onConnected called with the milliseconds that a direct connection took
 */
internal class TargetConnector(
    private val direct: ConnectionPool,
    private val tunnels: TunnelClient,
    private val relays: Relays,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val onConnected: (Long) -> Unit = {},
) {
    private val reach = TargetReach()

    /** Whether this router is cut off from all targets. */
    val isCutOff: Boolean get() = reach.isCutOff

    /** Opens a connection to [target] at [address], or returns null. */
    suspend fun connect(target: TargetId, address: InetSocketAddress): ClientConnection? {
        if (!reach.isCutOff) {
            when (val result = direct.tryConnect(address, CONNECT_TIMEOUT_MILLISECONDS)) {
                is ConnectResult.Established -> {
                    recordEstablished()
                    onConnected(result.milliseconds)
                    return result.connection
                }

                is ConnectResult.Failed -> recordFailed(target, result.failure)
            }
        }
        return if (reach.isCutOff) connectThroughRelay(target, address) else null
    }

    /**
     * Returns whether no process listens at the [address] of a target. Where another router can be asked, a host that
     * refuses only this one, as in a cut, does not count.
     */
    suspend fun isRefusing(address: InetSocketAddress): Boolean {
        if (!direct.isRefused(address, CONNECT_TIMEOUT_MILLISECONDS)) return false
        val relay = relays.choose(emptySet()) ?: return true
        return when (val result = tunnels.connect(relay, address)) {
            is TunnelResult.Open -> false.also { result.connection.close() }
            is TunnelResult.NotOpen -> result.answer == TunnelAnswer.REFUSED
            TunnelResult.NoAnswer -> !reach.isCutOff
        }
    }

    private suspend fun connectThroughRelay(target: TargetId, address: InetSocketAddress): ClientConnection? {
        val tried = HashSet<InetSocketAddress>()
        while (tried.size < MAXIMUM_RELAYS) {
            val relay = relays.choose(tried) ?: break
            tried += relay
            relays.recordOpened(relay)
            val result = tunnels.connect(relay, address)
            val connection = (result as? TunnelResult.Open)?.connection
            metrics.countRelayed(describe(result))
            if (connection != null) {
                connection.channel.closeFuture().addListener { relays.recordClosed(relay) }
                return connection
            }
            relays.recordClosed(relay)
            log.stateChange(
                SUBJECT,
                "Could not connect to a target through another router.",
                "target" to target.value,
                "relay" to relay,
                "result" to describe(result),
            )
            val isTargetAtFault = result is TunnelResult.NotOpen && result.answer != TunnelAnswer.DECLINED
            if (isTargetAtFault) return null
            relays.recordFailed(relay)
        }
        return null
    }

    /** Looks at intervals, while cut off, whether one of [targets] can be reached again. Runs until cancelled. */
    suspend fun runProbes(targets: () -> Collection<InetSocketAddress>) {
        while (currentCoroutineContext().isActive) {
            delay(PROBE_INTERVAL_MILLISECONDS)
            if (reach.isCutOff) {
                log.loggingFailures(SUBJECT) {
                    probe(targets().randomOrNull() ?: return@loggingFailures)
                }
            }
        }
    }

    private suspend fun probe(address: InetSocketAddress) {
        val connection = direct.connect(address, CONNECT_TIMEOUT_MILLISECONDS) ?: return
        recordEstablished()
        direct.release(connection, address)
    }

    private fun recordEstablished() {
        val since = reach.recordEstablished() ?: return
        log.stateChange(
            SUBJECT,
            "Targets can be reached directly again.",
            "cutOffMilliseconds" to clock.now().millisecondsSince(since),
        )
    }

    private fun recordFailed(target: TargetId, failure: ConnectFailure) {
        if (!reach.recordFailed(target, failure, direct.receivedAt, clock.now())) return
        direct.closeAllIdle()
        log.stateChange(
            SUBJECT,
            "No target can be reached directly; connecting through other routers.",
            "failedTargets" to reach.failedTargets,
            "failure" to failure,
            "receivedMillisecondsAgo" to clock.now().millisecondsSince(direct.receivedAt),
            "isRelayOffered" to (relays.choose(emptySet()) != null),
        )
    }

    private fun describe(result: TunnelResult): String = when (result) {
        is TunnelResult.Open -> TunnelAnswer.OPEN.name.lowercase()
        is TunnelResult.NotOpen -> result.answer.name.lowercase()
        TunnelResult.NoAnswer -> "no answer"
    }

    private companion object {
        const val SUBJECT = "reach"

        /** Many times the latency between data centres; a live target accepts within some milliseconds. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 250L

        /** Routers that may turn out to be full or cut off themselves. */
        const val MAXIMUM_RELAYS = 3

        /** Short in comparison with the time for which links are cut. */
        const val PROBE_INTERVAL_MILLISECONDS = 250L
    }
}
