package org.heatherwind.gateway.rollout

import kotlinx.serialization.Serializable
import org.heatherwind.core.rollout.AnswerCounts
import org.heatherwind.core.rollout.VersionEvidence

/**
 * A router's counters for one roll-out, as part of its report to the other routers.
 *
 * @property order offset of the order
 * @property established counters of the versions in use before the order, by route
 * @property introduced counters of the ordered version, by route
 */
@Serializable
internal data class RolloutReport(
    val order: Long,
    val established: Map<String, List<Long>> = emptyMap(),
    val introduced: Map<String, List<Long>> = emptyMap(),
) {
    /** The counters; those that are invalid are left out. */
    fun evidence(): VersionEvidence = VersionEvidence(decode(established), decode(introduced))

    private fun decode(counts: Map<String, List<Long>>): Map<String, AnswerCounts> = counts.entries
        .mapNotNull { (route, numbers) -> AnswerCounts.of(numbers)?.let { route to it } }
        .toMap()

    companion object {
        /** Returns the report of [evidence] for the order at the offset [order]. */
        fun of(order: Long, evidence: VersionEvidence): RolloutReport = RolloutReport(
            order,
            evidence.established.mapValues { it.value.toList() },
            evidence.introduced.mapValues { it.value.toList() },
        )
    }
}
