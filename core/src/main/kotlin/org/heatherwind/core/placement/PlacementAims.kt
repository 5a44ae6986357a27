package org.heatherwind.core.placement

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime

/**
 * What a request's placement should keep to where it can.
 *
 * @property firstEventDue when the first event meets the latency objective, or null if there is none
 * @property objectiveMilliseconds the whole latency objective, in milliseconds
 * @property dataCentre the router's own data centre, or null if it is not known
 */
public data class PlacementAims(
    val firstEventDue: MonotonicTime? = null,
    val objectiveMilliseconds: Long = 0,
    val dataCentre: DataCentreId? = null,
) {
    /**
     * Returns the cost in milliseconds of a first event that is predicted [predictedMilliseconds] after [now]. It rises
     * over the last part of the objective, since predictions are not exact.
     */
    internal fun latenessMilliseconds(predictedMilliseconds: Double, now: MonotonicTime): Double {
        if (firstEventDue == null || objectiveMilliseconds <= 0) return 0.0
        val margin = objectiveMilliseconds * UNCERTAIN_SHARE
        val early = firstEventDue.millisecondsSince(now) - predictedMilliseconds
        return LATENESS_MILLISECONDS * (1 - early / margin).coerceIn(0.0, 1.0)
    }

    /** Returns whether [load] is known to be in another data centre than the router. */
    public fun isElsewhere(load: TargetLoad): Boolean = dataCentre != null && load.entry.dataCentre != dataCentre

    private companion object {
        /** Share of the objective by which predictions are commonly wrong. */
        const val UNCERTAIN_SHARE = 0.3

        /**
         * A late answer loses most of its use, which is more than a long shared part that is read again, and less than
         * a cache that overflows and delays all the requests beside it.
         */
        const val LATENESS_MILLISECONDS = 400.0
    }
}
