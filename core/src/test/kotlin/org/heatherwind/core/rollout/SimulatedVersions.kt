package org.heatherwind.core.rollout

import org.heatherwind.core.identity.MonotonicTime
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** What is wrong with a version: a [share] of its answers on [routes], from [fromMilliseconds] on. */
internal class Defect(
    val share: Double,
    val slower: Double = 1.0,
    val isFailing: Boolean = false,
    val routes: Set<String>? = null,
    val fromMilliseconds: Long = 0,
)

/** Seeded answers of two versions on three routes, as the routers of a fleet count them. */
internal class SimulatedVersions(
    seed: Int,
    private val defect: Defect?,
    private val answersPerSecond: Int,
    private val introducedShare: Double = 0.08,
) {
    private val random = Random(seed)
    private val recorder = AnswerRecorder()

    /** The counters of all answers so far. */
    val evidence: VersionEvidence get() = recorder.evidence()

    /** Adds the answers of the [milliseconds] that end at [now]. */
    fun run(now: MonotonicTime, milliseconds: Long) {
        repeat(poisson(answersPerSecond * milliseconds / 1_000.0)) {
            val route = ROUTES[random.nextInt(ROUTES.size)]
            val isIntroduced = random.nextDouble() < introducedShare
            val applies = isIntroduced && defect != null && random.nextDouble() < defect.share &&
                defect.routes?.contains(route) != false && now.milliseconds >= defect.fromMilliseconds
            recordAnswer(route, isIntroduced, defect.takeIf { applies })
        }
    }

    private fun recordAnswer(route: String, isIntroduced: Boolean, defect: Defect?) {
        val counts = recorder.countsOf(route, isIntroduced)
        val slower = defect?.slower ?: 1.0
        val expected = 10.0 + random.nextInt(120)
        val isFailure = defect?.isFailing == true || random.nextDouble() < ESTABLISHED_FAILURES
        counts.recordAnswer(isFailure)
        if (isFailure) return
        counts.recordFirstEvent(expected * exp(gaussian() * FIRST_EVENT_SPREAD) * slower, expected)
        val targetSpeed = if (random.nextInt(3) == 0) 1.3 else 1.0
        counts.recordPace(REFERENCE_PACE * targetSpeed * exp(gaussian() * PACE_SPREAD) * slower)
    }

    private fun gaussian() = random.asJavaRandom().nextGaussian()

    private fun poisson(mean: Double): Int {
        var count = 0
        var product = random.nextDouble()
        while (product > exp(-mean)) {
            count++
            product *= random.nextDouble()
        }
        return count
    }

    companion object {
        val ROUTES = listOf("chat", "review", "check")
        private const val ESTABLISHED_FAILURES = 0.01
        private const val FIRST_EVENT_SPREAD = 0.5
        private const val PACE_SPREAD = 0.3
        private const val REFERENCE_PACE = 25.0
    }
}
