package org.heatherwind.core.rollout

/** Counts this router's answers during one roll-out. Bounded: routes beyond the limit are counted together. */
public class AnswerRecorder {
    private val established = HashMap<String, AnswerCounts>()
    private val introduced = HashMap<String, AnswerCounts>()

    /** The counters of one version on [route], which later answers change. */
    public fun countsOf(route: String, isIntroduced: Boolean): AnswerCounts {
        val counts = if (isIntroduced) introduced else established
        val key = if (route in counts || counts.size < MAXIMUM_ROUTES) route else OTHER_ROUTES
        return counts.getOrPut(key) { AnswerCounts() }
    }

    /** Returns a copy of all counters. */
    public fun evidence(): VersionEvidence = VersionEvidence(copy(established), copy(introduced))

    private fun copy(counts: Map<String, AnswerCounts>) = counts.mapValues { (_, value) -> value + AnswerCounts() }

    private companion object {
        /** Bounds the size of reports. */
        const val MAXIMUM_ROUTES = 12
        const val OTHER_ROUTES = "*"
    }
}
