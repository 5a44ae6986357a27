package org.heatherwind.core.placement

import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Given 67 routers, of which one has half of the work, and a target that turns cold, when their views of each other
 * differ, then the target gets no more in any second than it bears.
 */
class ColdCeilingTest {
    /** Creates the rule under test for a router, from what it knows of the others and they of it. */
    private fun interface Rule {
        fun of(self: InstanceId, known: () -> Set<InstanceId>?, isKnownToOthers: () -> Boolean): PaceSharing
    }

    private val rule = Rule { self, known, isKnown -> PaceSharing(self, known, { CEILING }, isKnown) }

    private class Case(val ceiling: ColdCeiling, val shares: Int, val aloneMilliseconds: Long?)

    private val cases = listOf(
        Case(ColdCeiling(11.0, 1.5, 5.0), shares = 10, aloneMilliseconds = 103),
        Case(ColdCeiling(11.0, 1.0, 0.0), shares = 5, aloneMilliseconds = 205),
        Case(ColdCeiling(1.0, 1.5, 5.0), shares = 1, aloneMilliseconds = 1_025),
        Case(ColdCeiling(0.5, 1.5, 5.0), shares = 1, aloneMilliseconds = 2_025),
        Case(ColdCeiling(1.0, 1.0, 0.0), shares = 1, aloneMilliseconds = 2_025),
        Case(ColdCeiling(0.0, 1.5, 5.0), shares = 0, aloneMilliseconds = null),
        Case(ColdCeiling(-3.0, 1.5, 5.0), shares = 0, aloneMilliseconds = null),
        Case(ColdCeiling(0.5, 1.5, 0.0), shares = 0, aloneMilliseconds = null),
    )

    @TestFactory
    fun `shares are half of what is allowed, and all of them belong to somebody`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest("${case.ceiling}") {
                assertEquals(case.shares, case.ceiling.shares)
                assertEquals(case.aloneMilliseconds, case.ceiling.intervalMilliseconds(PacePlace(0, 1)))
                for (routers in 1..80) {
                    val sum = (0 until routers).sumOf { case.ceiling.sharesOf(PacePlace(it, routers)) }
                    assertEquals(case.shares, sum, "among $routers routers")
                }
            }
        }

    @Test
    fun `in 1,000 histories of joins, forgotten routers and restarts the bound holds in each second`() {
        assertNull(firstBreach(rule))
    }

    private val mutants = listOf<Pair<String, Rule>>(
        "each router believes that it is alone" to Rule { self, _, known ->
            PaceSharing(self, { setOf(self) }, { CEILING }, known)
        },
        "shares are twice what is allowed" to Rule { self, known, _ ->
            PaceSharing(self, known, { CEILING.copy(requestsPerSecond = 42.0) })
        },
        "routers that the others don't know yet send" to Rule { self, known, _ ->
            PaceSharing(self, known, { CEILING })
        },
    )

    @TestFactory
    fun `a mutated rule is found`(): List<DynamicTest> = mutants.map { (name, mutant) ->
        DynamicTest.dynamicTest(name) { assertNotNull(firstBreach(mutant)) }
    }

    @Test
    fun `what cold targets bear is used`() {
        val sent = History(seed = 0, Trouble.NONE, rule).play()
        assertTrue(sent.size >= CEILING.shares * DURATION / 1_000 * 9 / 10, "only ${sent.size} requests")
    }

    @Test
    fun `a router that knows of no others sends nothing to a cold target`() {
        val pace = TargetPace(TargetId("target"), { 16 }, PaceSharing(InstanceId("router-0"), { null }, { CEILING }))
        assertEquals(false, pace.isWithinCeiling(MonotonicTime(3_000), MonotonicTime(0)))
        assertEquals(true, pace.isWithinCeiling(MonotonicTime(3_000), MonotonicTime(3_000)))
    }

    private fun firstBreach(rule: Rule): String? = (0 until HISTORIES).firstNotNullOfOrNull { seed ->
        val trouble = Trouble.entries[seed % Trouble.entries.size]
        val sent = History(seed, trouble, rule).play()
        val limit = CEILING.maximumPerSecond
        (0 until sent.size - limit).firstOrNull { sent[it + limit] - sent[it] < 1_000 }
            ?.let { "seed $seed, $trouble: ${limit + 1} requests within a second from ${sent[it]} ms" }
    }

    private enum class Trouble {
        NONE,

        /** Some routers are new, and known to the others only after some seconds. */
        JOINS,

        /** Some routers were forgotten by the others, but send. */
        FORGOTTEN,

        /** Routers stop, and start again without knowing what they have sent. */
        RESTARTS,

        /** The target is cold, warm, and cold again. */
        TURNS,
    }

    private class History(seed: Int, private val trouble: Trouble, private val rule: Rule) {
        private val random = Random(seed)
        private val target = TargetId("target-$seed")
        private val ids = List(ROUTERS) { InstanceId("router-$it") }
        private val odd = ids.shuffled(random).take(random.nextInt(1, ROUTERS)).toSet()
        private val joinedAt = odd.associateWith { random.nextLong(1_000) }
        private var now = 0L
        private val entry = ids.random(random)
        private val paces = ids.associateWith { newPace(it) }.toMutableMap()
        private val stoppedUntil = HashMap<InstanceId, Long>()

        fun play(): List<Long> {
            val sent = ArrayList<Long>()
            while (now < DURATION) {
                for (id in ids) {
                    if (trouble == Trouble.RESTARTS && id in odd && random.nextInt(200) == 0) restart(id)
                    val isBusy = id == entry || random.nextInt(BUSY_ONE_IN) == 0
                    if (isBusy && now >= (stoppedUntil[id] ?: 0) && trySend(id)) {
                        sent += now + random.nextLong(MAXIMUM_DELAY)
                    }
                }
                now += STEP
            }
            return sent.sorted()
        }

        private fun trySend(id: InstanceId): Boolean {
            val pace = paces.getValue(id)
            val coldUntil = if (trouble == Trouble.TURNS && now in 1_000 until 1_500) 0 else DURATION
            // What it gets between is not limited, but not counted here.
            val isOpen = pace.isWithinCeiling(MonotonicTime(coldUntil), MonotonicTime(now))
            if (!isOpen || coldUntil == 0L) return false
            pace.recordSent(MonotonicTime(now))
            return true
        }

        private fun restart(id: InstanceId) {
            stoppedUntil[id] = now + RESTART
            paces[id] = newPace(id)
        }

        private fun newPace(self: InstanceId): TargetPace {
            val learnedAt = ids.associateWith { (joinedAt[it] ?: 0) + random.nextLong(LEARNING - READ_INTERVAL) }
            val view = View {
                when (trouble) {
                    Trouble.JOINS -> ids.filter { it == self || it !in odd || now >= learnedAt.getValue(it) }.toSet()
                    Trouble.FORGOTTEN -> ids.filter { it == self || self in odd || it !in odd }.toSet()
                    else -> ids.toSet()
                }
            }
            val isKnown = { trouble != Trouble.JOINS || self !in odd || now >= joinedAt.getValue(self) + LEARNING }
            return TargetPace(target, { SLOTS }, rule.of(self, { view.at(now) }, isKnown))
        }
    }

    /** The routers that one of them knows, read now and then. */
    private class View(private val read: () -> Set<InstanceId>) {
        private var known = emptySet<InstanceId>()
        private var nextReadAt = 0L

        fun at(now: Long): Set<InstanceId> {
            if (now >= nextReadAt) {
                read().let { if (it != known) known = it }
                nextReadAt = now + READ_INTERVAL
            }
            return known
        }
    }

    private companion object {
        val CEILING = ColdCeiling(requestsPerSecond = 11.0, overage = 1.5, slack = 5.0)
        const val HISTORIES = 1_000
        const val ROUTERS = 67
        const val SLOTS = 16
        const val DURATION = 4_000L
        const val STEP = 20L
        const val BUSY_ONE_IN = 2

        /** A request is on its way at most this long after its time was taken. */
        const val MAXIMUM_DELAY = 25L

        const val READ_INTERVAL = 100L

        /** Within this time all routers learn of a new one. */
        const val LEARNING = 1_500L

        /** A process takes longer to start. */
        const val RESTART = 1_500L
    }
}
