package org.heatherwind.gateway.rollout

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.heatherwind.gateway.state.MemoryRecords
import org.heatherwind.gateway.store.NewRecord
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Given a fleet of routers and an order, when routers, their connections and the store fail, then the stored phases
 * never change after a final one, all routers follow them, and the new version gets no more than its share before.
 */
class RolloutFleetTest {
    private class Case(
        val name: String,
        val newVersion: NewVersion,
        val finalPhase: String,
        val faultProbability: Double = 0.0,
        val routers: Int = 5,
        val requestsPerSecond: Int = 25,
        val restore: Restore? = null,
        val disturb: suspend (List<RolloutRouter>) -> Unit = {},
    )

    /** A return of the store from a copy without the order, which is written again after [recordsBefore] others. */
    private class Restore(val millisecondsAfterOrder: Long, val recordsBefore: Int)

    private val good = NewVersion(badShare = 0.0)
    private val failing = NewVersion(badShare = 0.5)

    private val cases = listOf(
        Case("a good version", good, "Completed"),
        Case("a failing version", failing, "RolledBack"),
        Case("a version that fails later", NewVersion(0.5, badFrom = 9_000), "RolledBack"),
        Case("a good version, the store loses responses", good, "Completed", faultProbability = 0.2),
        Case("a failing version, the store loses responses", failing, "RolledBack", faultProbability = 0.2),
        Case("a failing version in a fleet of 20 routers", failing, "RolledBack", routers = 20, requestsPerSecond = 6),
        Case("a good version, routers restart", good, "Completed", disturb = { routers -> restart(routers) }),
        Case("a failing version, routers restart", failing, "RolledBack", disturb = { routers -> restart(routers) }),
        Case("a good version, a router is cut off", good, "Completed", disturb = { routers -> cut(routers.first()) }),
        Case("a failing version, a router is cut off", failing, "RolledBack", disturb = { routers ->
            cut(routers.first())
        }),
        Case("a failing version, the store is unreachable at first", failing, "RolledBack", disturb = { routers ->
            routers.forEach { it.setDisconnected(true) }
            delay(3_000)
            routers.forEach { it.setDisconnected(false) }
        }),
        Case(
            "a failing version, the store returns after the roll-back",
            failing,
            "RolledBack",
            restore = Restore(millisecondsAfterOrder = 12_000, recordsBefore = 0),
        ),
        Case(
            "a failing version, the store returns and orders are in another sequence",
            failing,
            "RolledBack",
            restore = Restore(millisecondsAfterOrder = 12_000, recordsBefore = 3),
        ),
        Case(
            "a good version, the store returns while it is introduced",
            good,
            "Completed",
            restore = Restore(millisecondsAfterOrder = 6_000, recordsBefore = 2),
        ),
        Case("a failing version, a router joins after the roll-back", failing, "RolledBack", disturb = { routers ->
            routers.last().kill()
            delay(12_000)
            routers.last().start(routers - routers.last())
        }),
    )

    // Guards against a bad version that is completed, gets more than its share, or is used again after its roll-back.
    @TestFactory
    fun `a roll-out ends in the phase that the answers call for`(): List<DynamicTest> = cases.flatMap { case ->
        (1..SEEDS).map { seed ->
            DynamicTest.dynamicTest("${case.name}, seed $seed") { runTest { play(case, seed) } }
        }
    }

    private suspend fun TestScope.play(case: Case, seed: Int) {
        val records = MemoryRecords()
        val routers = fleet(case, seed, records)
        routers.forEach { it.start(routers - it) }
        try {
            delay(ORDERED_AT)
            records.copy()
            val order = TextDocuments.order(RolloutRouter.service, RolloutRouter.NEW, DURATION_MILLISECONDS)
            records.of(TextDocuments.planPartition) += order
            delay(1_000)
            case.disturb(routers)
            case.restore?.let { restore(it, records, order, routers) }
            delay(DURATION_MILLISECONDS + 6_000)
            val phases = records.of(TextDocuments.statusPartition).map { it.value.decodeToString().split(' ')[1] }
            assertEquals(listOf("Running", case.finalPhase).filter { it in phases }, phases, "stored phases")
            assertEquals(case.finalPhase, phases.last())
            checkShare(routers.flatMap { it.sent }, case)
        } finally {
            routers.forEach { it.kill() }
        }
    }

    /** The last router restarts afterwards and knows nothing but what the store has. */
    private suspend fun restore(
        restore: Restore,
        records: MemoryRecords,
        order: NewRecord,
        routers: List<RolloutRouter>,
    ) {
        delay(restore.millisecondsAfterOrder)
        routers.forEach { it.setDisconnected(true) }
        delay(500)
        records.restore()
        repeat(restore.recordsBefore) { records.of(TextDocuments.planPartition) += NewRecord("other", byteArrayOf(1)) }
        records.of(TextDocuments.planPartition) += order
        routers.forEach { it.setDisconnected(false) }
        delay(4_000)
        routers.last().kill()
        routers.last().start(routers - routers.last())
    }

    private fun TestScope.fleet(case: Case, seed: Int, records: MemoryRecords): List<RolloutRouter> =
        List(case.routers) { number ->
            RolloutRouter(
                name = "router-$number",
                scope = this,
                records = records,
                random = Random(seed * 100 + number),
                faultProbability = case.faultProbability,
                requestsPerSecond = case.requestsPerSecond,
                newVersion = case.newVersion,
            )
        }

    private fun checkShare(sent: List<SentRequest>, case: Case) {
        val deadline = ORDERED_AT + DURATION_MILLISECONDS
        assertTrue(sent.none { it.version == RolloutRouter.NEW && it.at < ORDERED_AT }, "sent before the order")
        if (case.finalPhase == "Completed") {
            val late = sent.filter { it.at > deadline + 3_000 && it.version == RolloutRouter.OLD }
            assertEquals(0, late.size, "requests to the old version after the roll-out was completed")
            return
        }
        val ordered = sent.filter { it.at in ORDERED_AT..deadline }
        val exposed = ordered.count { it.version == RolloutRouter.NEW }
        assertTrue(exposed <= EXPOSURE_LIMIT * ordered.size, "$exposed of ${ordered.size} requests to the new version")
        val bad = sent.filter { it.isBad }
        assertTrue(bad.size < MAXIMUM_BAD_ANSWERS, "${bad.size} bad answers")
        assertTrue(sent.none { it.version == RolloutRouter.NEW && it.at > deadline }, "sent after the roll-back")
    }

    // Guards against an order that is taken for one that has ended, since it names the same version.
    @TestFactory
    fun `the same version ordered again is rolled out again`(): List<DynamicTest> = (1..SEEDS).map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            runTest {
                val records = MemoryRecords()
                val version = NewVersion(badShare = 0.5)
                val case = Case("ordered twice", version, "RolledBack", routers = 3)
                val routers = fleet(case, seed, records)
                routers.forEach { it.start(routers - it) }
                try {
                    val order = TextDocuments.order(RolloutRouter.service, RolloutRouter.NEW, DURATION_MILLISECONDS)
                    records.of(TextDocuments.planPartition) += order
                    delay(DURATION_MILLISECONDS + 4_000)
                    records.of(TextDocuments.planPartition) += order
                    delay(DURATION_MILLISECONDS + 4_000)
                    val statuses = records.of(TextDocuments.statusPartition).map { it.value.decodeToString() }
                    val expected = listOf("v2 Running 0", "v2 RolledBack 0", "v2 Running 1", "v2 RolledBack 1")
                    assertEquals(expected, statuses)
                } finally {
                    routers.forEach { it.kill() }
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 5
        const val ORDERED_AT = 2_000L
        const val DURATION_MILLISECONDS = 15_000L
        const val EXPOSURE_LIMIT = 0.1
        const val MAXIMUM_BAD_ANSWERS = 50

        suspend fun restart(routers: List<RolloutRouter>): Unit = routers.forEach { router ->
            delay(1_500)
            router.kill()
            delay(500)
            router.start(routers - router)
        }

        suspend fun cut(router: RolloutRouter) {
            router.setDisconnected(true)
            delay(8_000)
            router.setDisconnected(false)
        }
    }
}
