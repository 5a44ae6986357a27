package org.heatherwind.core.rollout

/**
 * The answers of both versions, by route.
 *
 * @property established counters of the versions in use before the order
 * @property introduced counters of the ordered version
 */
public data class VersionEvidence(
    val established: Map<String, AnswerCounts> = emptyMap(),
    val introduced: Map<String, AnswerCounts> = emptyMap(),
) {
    /** Number of answers of the ordered version on all routes. */
    public val introducedAnswers: Long get() = introduced.values.sumOf { it.answers }

    /** Returns the sum of both. */
    public operator fun plus(other: VersionEvidence): VersionEvidence = VersionEvidence(
        established = sum(established, other.established),
        introduced = sum(introduced, other.introduced),
    )

    private fun sum(left: Map<String, AnswerCounts>, right: Map<String, AnswerCounts>): Map<String, AnswerCounts> =
        (left.keys + right.keys).associateWith { (left[it] ?: NONE) + (right[it] ?: NONE) }

    private companion object {
        val NONE = AnswerCounts()
    }
}
