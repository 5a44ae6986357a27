package org.heatherwind.core.rollout

import org.heatherwind.core.identity.MonotonicTime
import kotlin.math.max

/** What the answers say about the ordered version. */
public sealed interface VersionVerdict {
    /** The answers do not suffice for a verdict. */
    public data object Undecided : VersionVerdict

    /** The version is as good as the established one. */
    public data object Sound : VersionVerdict

    /** The version is worse; [reason] names the route, the signal and the likelihood ratio. */
    public data class Worse(val reason: String) : VersionVerdict
}

/**
 * A sequential test of the ordered version against the established one, on each route and on all routes together.
 *
 * For each way in which a version may be worse (a share of its answers fails, or comes several times slower), the
 * log-likelihood ratio is summed up over the answers. A sum that is reset at zero exceeds the threshold soon after a
 * version became worse, also if it was good before; the sum without a reset tells whether a good version has been shown
 * to be good.
 */
public class VersionComparison {
    private val sums = HashMap<Hypothesis, Sums>()
    private var compared = VersionEvidence()
    private var windowStartedAt = MonotonicTime.distantPast

    /** The verdict on all answers so far. [VersionVerdict.Worse] is final. */
    public var verdict: VersionVerdict = VersionVerdict.Undecided
        private set

    /** Adds the answers in [evidence], known at [now], that were not in the evidence before. Returns the verdict. */
    public fun update(evidence: VersionEvidence, now: MonotonicTime): VersionVerdict {
        if (verdict is VersionVerdict.Worse || evidence.introduced.isEmpty()) return verdict
        if (evidence.established.values.sumOf { it.answers } < MINIMUM_ESTABLISHED_ANSWERS) return verdict
        if (now.millisecondsSince(windowStartedAt) >= WINDOW_MILLISECONDS) {
            windowStartedAt = now
            sums.values.forEach { it.windowGain = 0.0 }
        }
        val allEstablished = evidence.established.values.fold(NONE) { sum, counts -> sum + counts }
        for (alternative in ALTERNATIVES) {
            var pooled = 0.0
            for ((route, counts) in evidence.introduced) {
                val added = counts - (compared.introduced[route] ?: NONE)
                val ratio = ratioOf(alternative, added, evidence.established[route] ?: NONE, allEstablished)
                pooled += ratio
                add(Hypothesis(route, alternative), ratio)
            }
            add(Hypothesis(ALL_ROUTES, alternative), pooled)
        }
        compared = evidence
        verdict = judge(evidence)
        return verdict
    }

    private fun ratioOf(
        alternative: Alternative,
        added: AnswerCounts,
        established: AnswerCounts,
        allEstablished: AnswerCounts,
    ): Double = when (alternative) {
        is Alternative.Failing -> LikelihoodRatio.ofFailures(added, established, alternative.excess)

        is Alternative.Slower -> LikelihoodRatio.ofTimes(
            introduced = added.histogram(alternative.signal),
            established = established.histogram(alternative.signal),
            pooled = allEstablished.histogram(alternative.signal),
            shift = alternative.shift,
            fraction = alternative.fraction,
        )
    }

    private fun add(hypothesis: Hypothesis, ratio: Double) {
        val sum = sums.getOrPut(hypothesis) { Sums() }
        sum.total += ratio
        val gain = minOf(ratio, MAXIMUM_WINDOW_GAIN - sum.windowGain)
        sum.windowGain = max(0.0, sum.windowGain + gain)
        sum.recent = max(0.0, sum.recent + gain)
    }

    private fun judge(evidence: VersionEvidence): VersionVerdict {
        val worst = sums.maxBy { it.value.recent }
        if (worst.value.recent > WORSE_THRESHOLD) {
            val (route, alternative) = worst.key
            return VersionVerdict.Worse("$route: $alternative, log-likelihood ratio ${worst.value.recent.toInt()}")
        }
        val isShown = sums.all { (hypothesis, sum) ->
            hypothesis.route != ALL_ROUTES || sum.total <= SOUND_THRESHOLD || !isObserved(hypothesis, evidence)
        }
        val isSound = isShown && worst.value.recent < SUSPICION_THRESHOLD &&
            evidence.introducedAnswers >= MINIMUM_ANSWERS
        return if (isSound) VersionVerdict.Sound else VersionVerdict.Undecided
    }

    /** Returns whether the established version has answers by which [hypothesis] can be tested. */
    private fun isObserved(hypothesis: Hypothesis, evidence: VersionEvidence): Boolean =
        when (val alternative = hypothesis.alternative) {
            is Alternative.Failing -> true
            is Alternative.Slower -> evidence.established.values.any { it.histogram(alternative.signal).sum() > 0 }
        }

    private class Sums(var total: Double = 0.0, var recent: Double = 0.0, var windowGain: Double = 0.0)

    private data class Hypothesis(val route: String, val alternative: Alternative)

    /** A way in which the ordered version may be worse. */
    private sealed interface Alternative {
        /** A share [excess] of the answers that would succeed fails. */
        data class Failing(val excess: Double) : Alternative

        /** A [fraction] of the answers is slower by [shift] half octaves. */
        data class Slower(val signal: TimeSignal, val shift: Int, val fraction: Double) : Alternative
    }

    private companion object {
        const val ALL_ROUTES = "all routes"

        /** A good version exceeds it about once in several hundred roll-outs. */
        const val WORSE_THRESHOLD = 12.0

        /** At least three windows must speak against a version. */
        const val MAXIMUM_WINDOW_GAIN = 4.5
        const val WINDOW_MILLISECONDS = 1_000L

        /** More than one window can add, so that a pause just before the deadline does not prevent a completion. */
        const val SUSPICION_THRESHOLD = 8.0

        /** No way to be worse may be more likely than that the version is as good as the established one. */
        const val SOUND_THRESHOLD = 0.0
        const val MINIMUM_ANSWERS = 12

        /** With fewer, it is not known what an established answer looks like. */
        const val MINIMUM_ESTABLISHED_ANSWERS = 60
        val NONE = AnswerCounts()

        val ALTERNATIVES: List<Alternative> = listOf(0.15, 0.5).map { Alternative.Failing(it) } +
            TimeSignal.entries.flatMap { signal ->
                listOf(3, 5).flatMap { shift ->
                    listOf(0.35, 1.0).map { Alternative.Slower(signal, shift, it) }
                }
            }
    }
}
