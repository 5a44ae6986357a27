package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.ledger.LedgerState

/**
 * When the grants of a gone holder may be freed. An entry that died together with the holder may have used tokens that
 * nobody can account for, so grants stay quarantined when any other process died within the same window.
 */
public object QuarantineRules {
    /** Gone holders of [ledger] that still hold tokens and may be freed at [now] once their accounts are closed. */
    public fun candidates(ledger: LedgerState, now: Timestamp, settings: OwnerSettings): List<Incarnation> {
        if (ledger.gone.isEmpty()) return emptyList()
        val holding = ledger.budgets.values.flatMap { it.remaining.keys }.filter { it in ledger.gone }.toSet()
        return holding.filter { isReleasable(ledger, it, now, settings) }.sortedBy { it.value }
    }

    internal fun isReleasable(
        ledger: LedgerState,
        holder: Incarnation,
        now: Timestamp,
        settings: OwnerSettings,
    ): Boolean {
        val declaredAt = ledger.gone[holder] ?: return false
        val window = settings.quarantineMilliseconds
        val isAlone = ledger.gone.none { (other, at) -> other != holder && distance(at, declaredAt) < window }
        return isAlone && now >= declaredAt.plusMilliseconds(window)
    }

    private fun distance(one: Timestamp, other: Timestamp): Long = kotlin.math.abs(one.millisecondsSince(other))
}
