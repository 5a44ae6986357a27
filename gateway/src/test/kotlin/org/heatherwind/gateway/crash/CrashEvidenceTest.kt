package org.heatherwind.gateway.crash

import org.heatherwind.core.crash.SuspectKey
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.state.RouterReport
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given several routers that each see few crashes, when they exchange them, then all block the same keys. */
class CrashEvidenceTest {
    private var nowMilliseconds = 1_000_000L

    /** A router whose clocks differ from those of the others by [skewMilliseconds]. */
    private inner class Router(val incarnation: String, private val skewMilliseconds: Long = 0) {
        val evidence = CrashEvidence(
            self = Incarnation(incarnation),
            clock = MonotonicClock { MonotonicTime(nowMilliseconds + skewMilliseconds) },
            wallClock = { Timestamp(EPOCH_MILLISECONDS + nowMilliseconds + skewMilliseconds) },
        )

        fun crash(process: String, keys: List<SuspectKey>) = evidence.recordOwnCrash(process, keys)

        fun isBlocked(key: SuspectKey): Boolean =
            evidence.suspects.isBlocked(key, MonotonicTime(nowMilliseconds + skewMilliseconds))

        fun notice(process: String) = CrashNotice(evidence.noticeOf(setOf(process)))

        fun report() = RouterReport(incarnation, 1, 1, nowMilliseconds, crashes = evidence.reports())
    }

    private class Exchange(val name: String, val send: (Router, String, Router) -> Unit)

    private val exchanges = listOf(
        Exchange("by notices") { sender, process, receiver -> receiver.evidence.adopt(sender.notice(process)) },
        Exchange("by reports") { sender, _, receiver -> receiver.evidence.adopt(sender.report()) },
        Exchange("by both, several times") { sender, process, receiver ->
            repeat(3) {
                receiver.evidence.adopt(sender.notice(process))
                receiver.evidence.adopt(sender.report())
            }
        },
    )

    // Guards against routers that each wait for crashes of their own before they refuse a part that crashes targets.
    @TestFactory
    fun `three crashes seen by three routers block the key on every router`(): List<DynamicTest> =
        exchanges.map { exchange ->
            DynamicTest.dynamicTest(exchange.name) {
                val routers = (1..9).map { Router("router-$it@5", skewMilliseconds = it * 700L) }
                repeat(3) { number ->
                    val observer = routers[number * 2]
                    observer.crash("target-$number@1", listOf(shared, deadly))
                    routers.filter { it !== observer }.forEach { exchange.send(observer, "target-$number@1", it) }
                    val blocked = routers.count { it.isBlocked(deadly) }
                    assertEquals(if (number < 2) 0 else routers.size, blocked)
                    nowMilliseconds += 2_000
                }
            }
        }

    @Test
    fun `an answer at one router clears the key on every router`() {
        val routers = (1..4).map { Router("router-$it@5") }
        blockEverywhere(routers, keys = listOf(shared))
        assertEquals(4, routers.count { it.isBlocked(shared) })
        val cleared = routers[3].evidence.recordAnswer(listOf(shared))
        assertEquals(listOf(shared), cleared)
        val notice = CrashNotice(answers = routers[3].evidence.answersTo(cleared))
        routers.take(3).forEach { it.evidence.adopt(notice) }
        assertEquals(0, routers.count { it.isBlocked(shared) })
        assertEquals(emptyList(), routers.flatMap { it.evidence.reports() })
    }

    @Test
    fun `a report from before an answer does not block the key again`() {
        val routers = (1..4).map { Router("router-$it@5") }
        blockEverywhere(routers, keys = listOf(shared))
        val outdated = routers.map { it.report() }
        val cleared = routers[3].evidence.recordAnswer(listOf(shared))
        val notice = CrashNotice(answers = routers[3].evidence.answersTo(cleared))
        routers.forEach { router ->
            router.evidence.adopt(notice)
            outdated.filter { it.incarnation != router.incarnation }.forEach { router.evidence.adopt(it) }
        }
        nowMilliseconds += 2_000
        routers.first().crash("target-9@1", listOf(shared))
        assertEquals(0, routers.count { it.isBlocked(shared) })
    }

    @Test
    fun `a key that was answered here recently is neither reported nor adopted`() {
        val (first, second) = listOf(Router("router-1@5"), Router("router-2@5"))
        first.evidence.recordAnswer(listOf(shared))
        assertEquals(listOf(deadly), first.crash("target-9@1", listOf(shared, deadly)))
        blockEverywhere(listOf(second, first), keys = listOf(shared))
        assertEquals(listOf(false, true), listOf(first, second).map { it.isBlocked(shared) })
    }

    @Test
    fun `a process that starts later reads the blocked keys from reports, and continues those of its predecessor`() {
        val routers = (1..3).map { Router("router-$it@5") }
        blockEverywhere(routers)
        val successor = Router("router-1@9")
        routers.forEach { successor.evidence.adopt(it.report()) }
        assertEquals(true, successor.isBlocked(deadly))
        assertEquals(routers.first().evidence.reports(), successor.evidence.reports())
    }

    @Test
    fun `a single request on a crashed target is not part of reports until it crashes another`() {
        val router = Router("router-1@5")
        val request = SuspectKey.ofRequest(null, "GET", "/lookup/1", ByteArray(0))
        router.crash("target-1@1", listOf(request))
        assertEquals(emptyList(), router.evidence.reports())
        router.crash("target-2@1", listOf(request))
        assertEquals(2, router.evidence.reports().size)
    }

    private class Death(val name: String, val routers: Int, val isDeadly: Boolean)

    private val deaths = listOf(9, 95).flatMap { routers ->
        listOf(
            Death("$routers routers, targets that die for another reason", routers, isDeadly = false),
            Death("$routers routers, targets that a part crashes", routers, isDeadly = true),
        )
    }

    // Guards against refusals of the sound requests that were on targets when these died, also in mid-answer.
    @TestFactory
    fun `given requests of many routers on targets that die then only a deadly part is blocked`(): List<DynamicTest> =
        deaths.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val routers = (1..case.routers).map { Router("router-$it@5") }
                val subjects = (1..20).map { SuspectKey.ofPart("subject $it") }
                repeat(12) { death ->
                    // Each subject is answered somewhere every few seconds, and the part of all prompts everywhere.
                    routers.forEach { it.evidence.recordAnswer(listOf(shared)) }
                    (0..4).forEach { answer(routers, subjects[(death * 5 + it) % subjects.size], death * 31 + it) }
                    nowMilliseconds += 1_000
                    val process = "target-$death@1"
                    val observers = routers.indices.filter { it % 3 == death % 3 }
                    observers.forEach { routers[it].crash(process, listOf(shared, subjects[it % subjects.size])) }
                    if (case.isDeadly) routers[death % case.routers].crash(process, listOf(shared, deadly))
                    observers.union(listOf(death % case.routers)).forEach { share(routers[it], process, routers) }
                    nowMilliseconds += 1_000
                }
                assertEquals(if (case.isDeadly) case.routers else 0, routers.count { it.isBlocked(deadly) })
                val refused = subjects.filter { subject -> routers.any { it.isBlocked(subject) } }
                assertEquals(emptyList(), refused)
                assertEquals(0, routers.count { it.isBlocked(shared) })
            }
        }

    private fun answer(routers: List<Router>, key: SuspectKey, number: Int) {
        val router = routers[number % routers.size]
        val cleared = router.evidence.recordAnswer(listOf(key))
        val notice = CrashNotice(answers = router.evidence.answersTo(cleared))
        routers.filter { it !== router }.forEach { it.evidence.adopt(notice) }
    }

    /** Sends [sender]'s notice of a crash of [process], and forwards the answers that the others know of. */
    private fun share(sender: Router, process: String, routers: List<Router>) {
        val notice = sender.notice(process)
        val keys = notice.crashes.flatMap { it.keys }.mapNotNull { SuspectKey.parse(it) }
        val others = routers.filter { it !== sender }
        val answers = others.flatMap { it.evidence.answersTo(keys) }
        others.forEach { it.evidence.adopt(notice) }
        sender.evidence.adopt(answers)
        others.forEach { it.evidence.adopt(CrashNotice(answers = answers)) }
    }

    private class Position(val name: String, val keys: (List<SuspectKey>) -> List<SuspectKey>)

    private val positions = listOf(
        Position("first") { listOf(deadly) + it },
        Position("in the middle") { it.take(100) + deadly + it.drop(100) },
        Position("last") { it + deadly },
    )

    // Guards against a part that is left out of the evidence because of its position in a long prompt.
    @TestFactory
    fun `a deadly part of a prompt with hundreds of parts is blocked wherever it stands`(): List<DynamicTest> =
        positions.map { position ->
            DynamicTest.dynamicTest(position.name) {
                val routers = (1..9).map { Router("router-$it@5") }
                val others = keys(300)
                repeat(5) { number ->
                    val observer = routers[number]
                    // Sound requests with the other parts are answered now and then.
                    routers.forEach { it.evidence.recordAnswer(others) }
                    nowMilliseconds += 3_000
                    observer.crash("target-$number@1", position.keys(others))
                    routers.filter {
                        it !== observer
                    }.forEach { it.evidence.adopt(observer.notice("target-$number@1")) }
                    assertTrue(observer.notice("target-$number@1").crashes.all { it.keys.size <= 64 })
                }
                assertEquals(routers.size, routers.count { it.isBlocked(deadly) })
                assertEquals(0, others.count { key -> routers.any { it.isBlocked(key) } })
            }
        }

    @Test
    fun `reports are bounded and malformed keys of other routers are ignored`() {
        val router = Router("router-1@5")
        repeat(200) { crash -> router.crash("target-$crash@1", keys(1_000)) }
        assertEquals(16, router.evidence.reports().size)
        assertEquals(64, router.evidence.reports().maxOf { it.keys.size })
        val notice =
            CrashNotice(listOf(NoticedCrash("target-1@1", -5, listOf("", "part-", "x"))), listOf(NoticedAnswer("y", 1)))
        assertEquals(emptyList(), router.evidence.adopt(notice))
    }

    private fun keys(count: Int) = List(count) { SuspectKey.ofPart("part $it") }

    private fun blockEverywhere(routers: List<Router>, keys: List<SuspectKey> = listOf(shared, deadly)) =
        repeat(3) { number ->
            val observer = routers[number % routers.size]
            observer.crash("target-$number@1", keys)
            routers.filter { it !== observer }.forEach { it.evidence.adopt(observer.notice("target-$number@1")) }
            nowMilliseconds += 2_000
        }

    private companion object {
        const val EPOCH_MILLISECONDS = 1_700_000_000_000
        val deadly = SuspectKey.ofPart("dd")
        val shared = SuspectKey.ofPart("aa")
    }
}
