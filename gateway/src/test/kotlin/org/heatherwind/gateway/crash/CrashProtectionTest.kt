package org.heatherwind.gateway.crash

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.heatherwind.core.crash.SuspectKey
import org.heatherwind.core.fleet.Route
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.result.ResultCode
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.Repeatability
import org.heatherwind.core.work.TokenDemand
import org.heatherwind.core.work.WorkRequest
import org.heatherwind.gateway.caller.ReceivedRequest
import org.heatherwind.gateway.http.SimpleHttpClient
import org.heatherwind.gateway.peer.PeerClient
import org.heatherwind.gateway.peer.PeerEndpoint
import org.heatherwind.gateway.peer.PeerServer
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Given routers that call each other, when each sees one crash, then all refuse the requests that have the cause. */
class CrashProtectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val dispatcher = group.next().asCoroutineDispatcher()
    private var offsetMilliseconds = 0L
    private val clock = MonotonicClock { MonotonicTime(1_000_000 + offsetMilliseconds) }
    private val addresses = mutableListOf<InetSocketAddress>()

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private inner class Router(number: Int, var isRefusing: Boolean = true) {
        /** Called with each check of a target. */
        var onCheck: () -> Unit = {}
        private val metrics = GatewayMetrics()
        private val log = DecisionLog(clock, metrics)
        private val scope = CoroutineScope(SupervisorJob() + dispatcher)
        private val peerClient = PeerClient(SimpleHttpClient(group.next(), MonotonicClock.system), log, 10_000)
        val protection: CrashProtection = CrashProtection(
            evidence = CrashEvidence(Incarnation("router-$number@5"), clock) { Timestamp(clock.now().milliseconds) },
            detector = TargetCrashDetector(scope, clock) { isRefusing.also { onCheck() } },
            notifier = CrashNotifier(scope, peerClient) { addresses - address },
            scope = scope,
            clock = clock,
            log = log,
            metrics = metrics,
        )
        private val address = PeerServer(
            group,
            listOf(
                PeerEndpoint(
                    CrashNotifier.PATH,
                    CrashNotice.serializer(),
                    CrashNoticeReceipt.serializer(),
                    protection::receiveNotice,
                ),
            ),
        ).listen(InetSocketAddress("127.0.0.1", 0)).also { addresses += it }

        suspend fun lose(target: String, vararg parts: String): Boolean {
            val work = workOf(parts.toList())
            return protection.recordLostConnection(work, keysOf(work), TargetLoad(entryOf(target)))
        }

        fun answer(vararg parts: String): Unit = protection.recordAnswer(keysOf(workOf(parts.toList())))

        fun refuses(vararg parts: String): Boolean = workOf(parts.toList())
            .let { protection.refusalOf(it, keysOf(it)) }?.code == ResultCode.CRASHING_REQUEST_BLOCKED
    }

    // Guards against crashes of one target after the other while each router has seen only one or two of them.
    @Test
    fun `crashes at three routers block the part at all routers and none of the parts that were answered`() =
        onEventLoop(
            (1..5).map {
                Router(it)
            },
        ) { routers ->
            routers[4].answer("system", "shared", "own")
            offsetMilliseconds += 5_000
            (0..2).forEach { number ->
                routers[number].lose("target-$number", "system", "deadly", "shared", "own $number")
                awaitEverywhere(routers) { it.protection.suspectedTargets("deadly") == number + 1 }
                awaitEverywhere(routers) { it.protection.isKnownAsAnswered("shared") }
                offsetMilliseconds += 1_000
            }
            awaitEverywhere(routers) { it.refuses("other", "deadly", "own") }
            assertEquals(0, routers.count { it.refuses("system", "shared", "own") || it.refuses("shared", "deadly") })
        }

    @Test
    fun `connections that are lost while the target accepts new ones leave no suspects`() =
        onEventLoop(listOf(Router(1, isRefusing = false))) { (router) ->
            val retries = (1..5).map { number ->
                offsetMilliseconds += 2_000
                router.lose("target-$number", "deadly", "own")
            }
            assertEquals(List(5) { true }, retries)
            assertEquals(false, router.refuses("deadly", "own"))
        }

    // Guards against a crash that is overlooked because another connection to the target was lost just before it.
    @Test
    fun `a crash soon after the loss of a single connection is noticed`() =
        onEventLoop(listOf(Router(1, isRefusing = false))) { (router) ->
            router.lose("target-1", "sound", "own")
            offsetMilliseconds += 300
            router.isRefusing = true
            router.lose("target-1", "deadly", "own")
            assertEquals(1, router.protection.suspectedTargets("deadly"))
        }

    // Guards against a crash that is overlooked because the host accepts connections for a moment after it.
    @Test
    fun `a crash is noticed although the target accepted a connection after the loss`() =
        onEventLoop(listOf(Router(1, isRefusing = false))) { (router) ->
            router.onCheck = { router.isRefusing = true }
            assertEquals(true, router.lose("target-1", "deadly", "own"))
            awaitEverywhere(listOf(router)) { it.protection.suspectedTargets("deadly") == 1 }
        }

    // Guards against a connection to a loaded target for each one that it resets.
    @Test
    fun `the connections that a target resets at once are checked together`() =
        onEventLoop(listOf(Router(1, isRefusing = false))) { (router) ->
            var checks = 0
            router.onCheck = { checks++ }
            repeat(100) { router.lose("target-1", "part $it", "own") }
            while (checks < 2) delay(1)
            delay(1)
            assertEquals(2, checks)
        }

    @Test
    fun `a request is sent to another target only after the first crash`() =
        onEventLoop(listOf(Router(1))) { (router) ->
            val retries = (1..3).map { number ->
                offsetMilliseconds += 2_000
                router.lose("target-$number", "deadly", "own")
            }
            assertEquals(listOf(true, false, false), retries)
            assertEquals(true, router.lose("target-3", "sound", "own"))
        }

    /** The listeners of [routers] must be opened on another thread than their event loop. */
    private fun onEventLoop(routers: List<Router>, test: suspend (List<Router>) -> Unit): Unit =
        runBlocking(dispatcher) { withTimeout(TIMEOUT_MILLISECONDS) { test(routers) } }

    private suspend fun awaitEverywhere(routers: List<Router>, condition: (Router) -> Boolean) {
        while (!routers.all(condition)) delay(1)
    }

    private fun CrashProtection.suspectedTargets(part: String): Int =
        evidence.suspects.crashCount(SuspectKey.ofPart(part), clock.now())

    private fun CrashProtection.isKnownAsAnswered(part: String): Boolean =
        evidence.answersTo(listOf(SuspectKey.ofPart(part))).isNotEmpty()

    private fun keysOf(work: WorkRequest): RequestKeys {
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/chat/1")
        return RequestKeys(work, ReceivedRequest(head, work.id.encodeToByteArray(), clock.now()), PartKeys())
    }

    private fun workOf(parts: List<String>) = WorkRequest(
        id = "r${++requests}",
        route = route,
        customer = null,
        tokens = TokenDemand(100, 50, parts.map { PromptPart(it, 10) }.toImmutableList()),
        receivedAt = clock.now(),
        deadline = clock.now().plusMilliseconds(1_000),
    )

    private var requests = 0

    private companion object {
        const val TIMEOUT_MILLISECONDS = 15_000L
        val route = Route(
            name = "chat",
            host = "h.example",
            pathPrefix = "/chat/",
            destinations = persistentListOf(),
            repeatability = Repeatability.Idempotent,
            timeoutMilliseconds = 1_000,
            latencyObjectiveMilliseconds = 300,
        )

        fun entryOf(target: String) = TargetEntry(
            id = TargetId(target),
            service = ServiceId("pool"),
            host = "127.0.0.1",
            port = 1,
            dataCentre = DataCentreId("z"),
            version = "v1",
            slots = 8,
            isDraining = false,
        )
    }
}
