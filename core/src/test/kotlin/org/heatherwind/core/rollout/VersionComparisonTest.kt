package org.heatherwind.core.rollout

import org.heatherwind.core.identity.MonotonicTime
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Given answers of two versions, when they are compared, then a worse version is detected and a good one passes. */
class VersionComparisonTest {
    /** [mostBadAnswers] is the number of bad answers by which every seed must have a verdict. */
    private class Case(val name: String, val defect: Defect, val mostBadAnswers: Int, val answersPerSecond: Int = 120)

    private val cases = listOf(
        Case("half of the answers four times slower", Defect(0.5, slower = 4.0), mostBadAnswers = 40),
        Case("half of the answers eight times slower", Defect(0.5, slower = 8.0), mostBadAnswers = 40),
        Case("all answers three times slower", Defect(1.0, slower = 3.0), mostBadAnswers = 50),
        Case("all answers four times slower", Defect(1.0, slower = 4.0), mostBadAnswers = 50),
        Case("a third of the answers eight times slower", Defect(0.33, slower = 8.0), mostBadAnswers = 40),
        Case("a tenth of the answers failing", Defect(0.1, isFailing = true), mostBadAnswers = 40),
        Case("half of the answers failing", Defect(0.5, isFailing = true), mostBadAnswers = 40),
        Case(
            "half of the answers of one route five times slower",
            Defect(0.5, slower = 5.0, routes = setOf("review")),
            mostBadAnswers = 40,
        ),
        Case(
            "half of the answers of one route failing",
            Defect(0.5, isFailing = true, routes = setOf("review")),
            mostBadAnswers = 40,
        ),
        Case(
            "half of the answers five times slower after six seconds",
            Defect(0.5, slower = 5.0, fromMilliseconds = 6_000),
            mostBadAnswers = 40,
        ),
        Case(
            "half of the answers five times slower in a small fleet",
            Defect(0.5, slower = 5.0),
            mostBadAnswers = 40,
            answersPerSecond = 40,
        ),
    )

    // Guards against a roll-out of a slow or failing version that is completed and kept.
    @TestFactory
    fun `a worse version is detected before it gave many bad answers`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            for (seed in SEEDS) {
                val versions = SimulatedVersions(seed, case.defect, case.answersPerSecond)
                val detectedAt = detectionTime(versions)
                val routeShare = (case.defect.routes?.size ?: SimulatedVersions.ROUTES.size) /
                    SimulatedVersions.ROUTES.size.toDouble()
                val badPerSecond = case.answersPerSecond * INTRODUCED_SHARE * case.defect.share * routeShare
                val badAnswers = badPerSecond * (detectedAt - case.defect.fromMilliseconds) / 1_000
                assertTrue(badAnswers <= case.mostBadAnswers, "seed $seed: detected after $detectedAt ms")
            }
        }
    }

    private class GoodCase(val name: String, val answersPerSecond: Int, val soundAfterMilliseconds: Long)

    private val goodCases = listOf(
        GoodCase("a fleet with 120 answers a second", answersPerSecond = 120, soundAfterMilliseconds = 12_000),
        GoodCase("a fleet with 40 answers a second", answersPerSecond = 40, soundAfterMilliseconds = 20_000),
    )

    // Guards against a roll-out of a good version that is rolled back: at most one in a hundred. It is completed if it
    // is sound at one moment of the last second, and not worse before.
    @TestFactory
    fun `a good version passes`(): List<DynamicTest> = goodCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val verdicts = (1..GOOD_SEEDS).associateWith { seed ->
                val comparison = VersionComparison()
                val versions = SimulatedVersions(seed, defect = null, case.answersPerSecond)
                run(versions, comparison, case.soundAfterMilliseconds - LAST_STEPS * STEP_MILLISECONDS)
                val last = (1..LAST_STEPS).map { step ->
                    val now = MonotonicTime(case.soundAfterMilliseconds - (LAST_STEPS - step) * STEP_MILLISECONDS)
                    versions.run(now, STEP_MILLISECONDS)
                    comparison.update(versions.evidence, now)
                }
                last.firstOrNull { it == VersionVerdict.Sound } ?: last.last()
            }
            val failed = verdicts.filterValues { it != VersionVerdict.Sound }
            assertTrue(failed.size <= GOOD_SEEDS / 100, "did not pass: $failed")
        }
    }

    // Guards against a roll-back because one target paused: its answers are late together.
    @TestFactory
    fun `answers that are late within one second do not condemn a version`(): List<DynamicTest> = SEEDS.map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val comparison = VersionComparison()
            val versions = SimulatedVersions(seed, defect = null, answersPerSecond = 120)
            run(versions, comparison, 3_000)
            val late = AnswerCounts()
            repeat(8) {
                late.recordAnswer(isFailure = false)
                late.recordFirstEvent(actualMilliseconds = 1_000.0, expectedMilliseconds = 20.0)
            }
            val evidence = versions.evidence + VersionEvidence(introduced = mapOf("chat" to late))
            val verdict = comparison.update(evidence, MonotonicTime(3_250))
            assertTrue(verdict !is VersionVerdict.Worse, "$verdict")
        }
    }

    // Guards against a condemned version that is rehabilitated by later good answers.
    @TestFactory
    fun `the verdict on a worse version is final`(): List<DynamicTest> = SEEDS.map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val comparison = VersionComparison()
            val bad = SimulatedVersions(seed, Defect(1.0, isFailing = true), answersPerSecond = 120)
            run(bad, comparison, 8_000)
            val condemned = comparison.verdict
            assertTrue(condemned is VersionVerdict.Worse)
            val good = SimulatedVersions(seed, defect = null, answersPerSecond = 500)
            good.run(MonotonicTime(9_000), 4_000)
            assertEquals(condemned, comparison.update(bad.evidence + good.evidence, MonotonicTime(9_000)))
        }
    }

    private fun detectionTime(versions: SimulatedVersions): Long {
        val comparison = VersionComparison()
        return run(versions, comparison, LONGEST_RUN_MILLISECONDS)
    }

    /** Compares every quarter of a second until a version is found to be worse. Returns the time of the last one. */
    private fun run(versions: SimulatedVersions, comparison: VersionComparison, milliseconds: Long): Long {
        for (time in STEP_MILLISECONDS..milliseconds step STEP_MILLISECONDS) {
            versions.run(MonotonicTime(time), STEP_MILLISECONDS)
            comparison.update(versions.evidence, MonotonicTime(time))
            if (comparison.verdict is VersionVerdict.Worse) return time
        }
        return milliseconds
    }

    private companion object {
        const val STEP_MILLISECONDS = 250L
        const val INTRODUCED_SHARE = 0.08
        const val LONGEST_RUN_MILLISECONDS = 90_000L
        const val LAST_STEPS = 4
        const val GOOD_SEEDS = 400
        val SEEDS = 1..40
    }
}
