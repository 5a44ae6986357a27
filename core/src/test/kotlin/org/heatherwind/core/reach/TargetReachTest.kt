package org.heatherwind.core.reach

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given outcomes of connection attempts, when they are judged, then only a cut of the router's own links counts. */
class TargetReachTest {
    /** An outcome at [at]: [target] refused, or did not answer since [startedAt]; no target if one was reached. */
    private class Outcome(
        val at: Long,
        val target: String?,
        val startedAt: Long? = null,
        val receivedAt: Long = Long.MIN_VALUE / 4,
    ) {
        val failure: ConnectFailure
            get() = startedAt?.let { ConnectFailure.TimedOut(MonotonicTime(it)) } ?: ConnectFailure.Refused
    }

    private class Case(val name: String, val isCutOff: Boolean, val outcomes: List<Outcome>)

    private val cases = listOf(
        Case("nothing known", isCutOff = false, emptyList()),
        Case("one target fails often", isCutOff = false, listOf(Outcome(0, "a"), Outcome(10, "a"), Outcome(20, "a"))),
        Case("two targets fail", isCutOff = true, listOf(Outcome(0, "a"), Outcome(10, "b"))),
        Case("two targets fail, one long ago", isCutOff = false, listOf(Outcome(0, "a"), Outcome(2_001, "b"))),
        Case(
            "a connection is established in between",
            isCutOff = false,
            listOf(Outcome(0, "a"), Outcome(5, null), Outcome(10, "b")),
        ),
        Case(
            "a connection is established afterwards",
            isCutOff = false,
            listOf(Outcome(0, "a"), Outcome(5, "b"), Outcome(10, null)),
        ),
        Case("it goes on for long", isCutOff = true, listOf(Outcome(0, "a"), Outcome(5, "b"), Outcome(60_000, "a"))),
    )

    @TestFactory
    fun `given outcomes when judged then a router is cut off only if targets fail together`(): List<DynamicTest> =
        dynamicTests(cases)

    private val overloadCases = listOf(
        Case(
            "nothing arrives during the attempts",
            isCutOff = true,
            listOf(
                Outcome(250, "a", startedAt = 0, receivedAt = 0),
                Outcome(260, "b", startedAt = 10, receivedAt = 0),
            ),
        ),
        Case(
            "other answers arrive during the attempts",
            isCutOff = false,
            listOf(
                Outcome(250, "a", startedAt = 0, receivedAt = 240),
                Outcome(260, "b", startedAt = 10, receivedAt = 255),
                Outcome(300, "c", startedAt = 50, receivedAt = 51),
            ),
        ),
        Case(
            "answers arrive until a cut",
            isCutOff = true,
            listOf(
                Outcome(250, "a", startedAt = 0, receivedAt = 100),
                Outcome(300, "b", startedAt = 110, receivedAt = 100),
                Outcome(360, "c", startedAt = 110, receivedAt = 100),
            ),
        ),
        Case(
            "targets refuse while answers arrive",
            isCutOff = true,
            listOf(Outcome(1, "a", receivedAt = 1), Outcome(2, "b", receivedAt = 2)),
        ),
    )

    // Guards against an overloaded router that takes itself for cut off, and closes the connections it has.
    @TestFactory
    fun `given connections that time out when answers arrive meanwhile then the router is not cut off`() =
        dynamicTests(overloadCases)

    private fun dynamicTests(cases: List<Case>): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val reach = TargetReach()
            case.outcomes.forEach { reach.record(it) }
            assertEquals(case.isCutOff, reach.isCutOff)
        }
    }

    private fun TargetReach.record(outcome: Outcome) {
        if (outcome.target == null) {
            recordEstablished()
        } else {
            recordFailed(
                target = TargetId(outcome.target),
                failure = outcome.failure,
                receivedAt = MonotonicTime(outcome.receivedAt),
                now = MonotonicTime(outcome.at),
            )
        }
    }
}
