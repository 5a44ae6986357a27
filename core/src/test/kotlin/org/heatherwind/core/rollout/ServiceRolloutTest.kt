package org.heatherwind.core.rollout

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given an order, when time passes and answers come in, then the roll-out takes the phase that they call for. */
class ServiceRolloutTest {
    private class Case(
        val name: String,
        val stored: List<RolloutPhase>,
        val defect: Defect? = null,
        val hasAnswers: Boolean = true,
        val atMilliseconds: Long,
        val wanted: RolloutPhase?,
        val share: Double,
    )

    private val running = listOf(RolloutPhase.Running)

    private val cases = listOf(
        Case("not acknowledged yet", emptyList(), atMilliseconds = 0, wanted = RolloutPhase.Running, share = 0.0),
        Case("running with good answers", running, atMilliseconds = 8_000, wanted = null, share = 0.08),
        Case(
            "running without answers",
            running,
            hasAnswers = false,
            atMilliseconds = 8_000,
            wanted = null,
            share = 0.04,
        ),
        Case(
            "good answers, shortly before the deadline",
            running,
            atMilliseconds = 13_000,
            wanted = RolloutPhase.Completed,
            share = 0.08,
        ),
        Case(
            "no answers, shortly before the deadline",
            running,
            hasAnswers = false,
            atMilliseconds = 13_000,
            wanted = null,
            share = 0.04,
        ),
        Case(
            "no answers, still shorter before the deadline",
            running,
            hasAnswers = false,
            atMilliseconds = 14_000,
            wanted = RolloutPhase.RolledBack,
            share = 0.04,
        ),
        Case(
            "bad answers",
            running,
            defect = Defect(0.5, slower = 6.0),
            atMilliseconds = 8_000,
            wanted = RolloutPhase.RolledBack,
            share = 0.0,
        ),
        Case(
            "completed by another router in spite of bad answers",
            listOf(RolloutPhase.Running, RolloutPhase.Completed),
            defect = Defect(0.5, slower = 6.0),
            atMilliseconds = 8_000,
            wanted = null,
            share = 1.0,
        ),
        Case(
            "rolled back by another router in spite of good answers",
            listOf(RolloutPhase.Running, RolloutPhase.RolledBack),
            atMilliseconds = 13_000,
            wanted = null,
            share = 0.0,
        ),
        // Guards against an older reader that undoes a later state.
        Case(
            "rolled back, then an older status is read",
            listOf(RolloutPhase.RolledBack, RolloutPhase.Running),
            atMilliseconds = 8_000,
            wanted = null,
            share = 0.0,
        ),
        Case(
            "rolled back, then completed by a writer that did not know it",
            listOf(RolloutPhase.RolledBack, RolloutPhase.Completed),
            atMilliseconds = 8_000,
            wanted = null,
            share = 0.0,
        ),
        Case(
            "completed, then an older status is read",
            listOf(RolloutPhase.Completed, RolloutPhase.Running),
            atMilliseconds = 8_000,
            wanted = null,
            share = 1.0,
        ),
    )

    @TestFactory
    fun `the wanted phase and the share follow from answers, time and stored phases`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val rollout = ServiceRollout(order, RolloutPolicy(exposureLimit = 0.1), MonotonicTime(0))
                case.stored.forEach { rollout.adopt(status(it), MonotonicTime(0), remainingMilliseconds = null) }
                val versions = SimulatedVersions(seed = 7, case.defect, answersPerSecond = 120)
                for (time in STEP_MILLISECONDS..case.atMilliseconds step STEP_MILLISECONDS) {
                    if (case.hasAnswers) versions.run(MonotonicTime(time), STEP_MILLISECONDS)
                    rollout.compare(versions.evidence, MonotonicTime(time))
                }
                assertEquals(case.wanted, rollout.wantedPhase(MonotonicTime(case.atMilliseconds)))
                assertEquals(case.share, rollout.share, absoluteTolerance = 1e-9)
            }
        }

    private class DeadlineCase(val name: String, val remainingMilliseconds: Long?, val deadlineMilliseconds: Long)

    private val deadlineCases = listOf(
        DeadlineCase("unknown", remainingMilliseconds = null, deadlineMilliseconds = 15_000),
        DeadlineCase("known to be earlier", remainingMilliseconds = 4_000, deadlineMilliseconds = 5_000),
        DeadlineCase("later, by a clock ahead", remainingMilliseconds = 90_000, deadlineMilliseconds = 15_000),
        DeadlineCase("past, by a clock behind", remainingMilliseconds = -90_000, deadlineMilliseconds = 1_000),
    )

    // Guards against a router that started in the middle of a roll-out and takes the order for a new one.
    @TestFactory
    fun `the deadline is the earlier of the order's and the stored one`(): List<DynamicTest> =
        deadlineCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val rollout = ServiceRollout(order, RolloutPolicy(), MonotonicTime(0))
                rollout.adopt(status(RolloutPhase.Running), MonotonicTime(1_000), case.remainingMilliseconds)
                assertEquals(MonotonicTime(case.deadlineMilliseconds), rollout.deadline)
            }
        }

    private fun status(phase: RolloutPhase) = RolloutStatus(order.service, "v2", phase, order.offset, endsAt = null)

    private companion object {
        const val STEP_MILLISECONDS = 250L
        val order = RolloutOrder(ServiceId("pool"), "v2", offset = 1, durationMilliseconds = 15_000)
    }
}
