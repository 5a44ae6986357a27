package org.heatherwind.core.reach

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given outcomes of connection attempts, when they are judged, then only a cut of the router's own links counts. */
class TargetReachTest {
    private class Case(val name: String, val isCutOff: Boolean, val outcomes: List<Pair<Long, String?>>)

    private val cases = listOf(
        Case("nothing known", isCutOff = false, emptyList()),
        Case("one target fails often", isCutOff = false, listOf(0L to "a", 10L to "a", 20L to "a")),
        Case("two targets fail", isCutOff = true, listOf(0L to "a", 10L to "b")),
        Case("two targets fail, one long ago", isCutOff = false, listOf(0L to "a", 2_001L to "b")),
        Case("a connection is established in between", isCutOff = false, listOf(0L to "a", 5L to null, 10L to "b")),
        Case("a connection is established afterwards", isCutOff = false, listOf(0L to "a", 5L to "b", 10L to null)),
        Case("it goes on for long", isCutOff = true, listOf(0L to "a", 5L to "b", 60_000L to "a")),
    )

    @TestFactory
    fun `given outcomes when judged then a router is cut off only if targets fail together`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val reach = TargetReach()
                case.outcomes.forEach { (at, failed) ->
                    if (failed ==
                        null
                    ) {
                        reach.recordEstablished()
                    } else {
                        reach.recordFailed(TargetId(failed), MonotonicTime(at))
                    }
                }
                assertEquals(case.isCutOff, reach.isCutOff)
            }
        }
}
