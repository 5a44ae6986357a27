package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.LedgerState

/**
 * Decides when the grants of a holder that was declared gone may be released. An entry router that failed at about the
 * same time as the holder may have used tokens of which no record exists. Grants therefore stay quarantined permanently
 * if any other process was declared gone within one quarantine period of the holder.
 */
public object QuarantineRules {
    /**
     * Returns the quarantined holders that still have tokens and whose grants may be released at [now], provided that
     * no request under them is unsettled.
     */
    public fun releaseCandidates(ledger: LedgerState, now: Timestamp, settings: OwnerSettings): List<Incarnation> {
        if (ledger.gone.isEmpty()) return emptyList()
        val holders = ledger.budgets.values.flatMap { it.remaining.keys }.filter { it in ledger.gone }.toSet()
        return holders.filter { isReleasable(ledger, it, now, settings) }.sortedBy { it.value }
    }

    internal fun isReleasable(
        ledger: LedgerState,
        holder: Incarnation,
        now: Timestamp,
        settings: OwnerSettings,
    ): Boolean {
        val declaredAt = ledger.gone[holder] ?: return false
        val windowMilliseconds = settings.quarantineMilliseconds
        val hasNoConcurrentFailure = ledger.gone.none { (other, at) ->
            other != holder && differenceMilliseconds(at, declaredAt) < windowMilliseconds
        }
        return hasNoConcurrentFailure && now >= declaredAt.plusMilliseconds(windowMilliseconds)
    }

    private fun differenceMilliseconds(first: Timestamp, second: Timestamp): Long =
        kotlin.math.abs(first.millisecondsSince(second))
}
