package org.heatherwind.gateway.crash

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.heatherwind.gateway.peer.PeerClient
import java.net.InetSocketAddress

/**
 * Sends notices to all other routers, since reports are read only every few seconds in a large fleet.
 *
 * @param peers returns the addresses of the other routers
 */
internal class CrashNotifier(
    private val scope: CoroutineScope,
    private val client: PeerClient,
    private val peers: () -> List<InetSocketAddress>,
) {
    /**
     * Sends the notice that [compose] returns at the time of each attempt, until it returns null. Calls [onReceipt]
     * with each response.
     */
    fun notifyPeers(compose: () -> CrashNotice?, onReceipt: (CrashNoticeReceipt) -> Unit) {
        peers().forEach { peer -> scope.launch { notifyPeer(peer, compose, onReceipt) } }
    }

    private suspend fun notifyPeer(
        peer: InetSocketAddress,
        compose: () -> CrashNotice?,
        onReceipt: (CrashNoticeReceipt) -> Unit,
    ) {
        for (pause in RETRY_PAUSES_MILLISECONDS) {
            delay(pause)
            val notice = compose() ?: return
            val receipt =
                client.call(peer, PATH, notice, CrashNotice.serializer(), CrashNoticeReceipt.serializer())
            if (receipt != null) return onReceipt(receipt)
        }
    }

    companion object {
        /** Path of the endpoint for notices. */
        const val PATH: String = "/crash"

        /** Covers short partitions; a router that is cut off for longer reads the reports. */
        private val RETRY_PAUSES_MILLISECONDS = listOf(0L, 100, 250, 500, 1_000, 2_000, 4_000)
    }
}
