package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given a target that states how long work takes on its machine, then that is known as long as it is recent. */
class TargetSpeedTest {
    private class Case(
        val name: String,
        val reports: List<Pair<Long, Double>>,
        val age: Long,
        val range: ClosedRange<Double>,
    )

    private val changing = (0L until 100).map { it * 100 to if (it % 4 == 3L) 2.5 else 1.0 }

    private val cases = listOf(
        Case("nothing stated", emptyList(), 0, 1.0..1.0),
        Case("as usual", listOf(0L to 1.0), 50, 1.0..1.0),
        Case("a slow moment, just stated", changing, 0, 2.4..2.5),
        Case("a slow moment, 100 ms ago", changing, 100, 1.8..2.3),
        Case("a slow moment two seconds ago among usual ones", changing, 2_000, 1.2..1.6),
        Case("slow throughout, two seconds ago", List(100) { it * 100L to 1.7 }, 2_000, 1.6..1.7),
        Case("slow a minute ago, nothing since", List(100) { it * 100L to 1.7 }, 60_000, 1.0..1.01),
        Case("hundreds of reports of one moment", changing + List(400) { 9_900L to 2.5 }, 2_000, 1.2..1.6),
        Case("not a number", listOf(0L to Double.NaN), 0, 1.0..1.0),
        Case("negative", listOf(0L to -3.0), 0, 1.0..1.0),
        Case("endless", listOf(0L to Double.POSITIVE_INFINITY), 0, 1.0..1.0),
        Case("huge", listOf(0L to 900.0), 0, 9.9..10.0),
        Case("next to nothing", listOf(0L to 0.0001), 0, 0.25..0.26),
    )

    @TestFactory
    fun `the slowdown follows what is stated`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val speed = TargetSpeed()
            case.reports.forEach { (at, slowdown) -> speed.recordReport(slowdown, MonotonicTime(at)) }
            val lastAt = case.reports.lastOrNull()?.first ?: 0
            val slowdown = speed.slowdown(MonotonicTime(lastAt + case.age))
            assertTrue(slowdown in case.range, "$slowdown not in ${case.range}")
        }
    }

    @TestFactory
    fun `slots far from the entry's are ignored`(): List<DynamicTest> =
        listOf(null to 16, 4 to 4, 64 to 64, 3 to 16, 65 to 16, 99_999 to 16, 0 to 16, -5 to 16, Int.MAX_VALUE to 16)
            .map { (stated, used) ->
                DynamicTest.dynamicTest("$stated slots") {
                    val load = ToyTarget.loads(1, slots = 16).single()
                    load.recordLoadReport(running = 1, waiting = 0, now = MonotonicTime(0), slots = stated)
                    assertEquals(used, load.slots)
                }
            }

    // Guards against a target being held twice as slow as it is, once by its word and once by its answers.
    @Test
    fun `a slowdown that was stated is not learned from the answers too`() {
        val load = ToyTarget.loads(1).single()
        repeat(20) {
            val at = MonotonicTime(it * 100L)
            load.recordLoadReport(running = 1, waiting = 0, now = at, slowdown = 2.0)
            val sent = load.recordSent(null, 0.0, expectedMilliseconds = 200.0, now = at)
            load.recordLoadReport(running = 1, waiting = 0, now = at.plusMilliseconds(400), slowdown = 2.0)
            load.recordFirstEvent(sent, at.plusMilliseconds(400))
        }
        assertEquals(1.0, load.latencyRatio(MonotonicTime(2_300)), 0.01)
    }
}
