package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.ledger.HolderGone
import org.heatherwind.core.ledger.HolderReleased

/**
 * Settles as interrupted the requests that arrived at [process], and appends the record that quarantines its grants on
 * every router.
 */
internal fun OwnerDraft.declareGone(process: Incarnation) {
    if (process == state.holder) return
    interruptRequestsWhere { it.entry == process }
    if (process !in state.ledger.gone) append(HolderGone(process, declaredAt = now))
}

/**
 * Appends the record that releases the grants of a quarantined holder, if its quarantine is over. The caller must have
 * checked that no request still runs under those grants.
 */
internal fun OwnerDraft.releaseHolder(holder: Incarnation) {
    val isReleasable = QuarantineRules.isReleasable(state.ledger, holder, now, settings)
    if (isReleasable) append(HolderReleased(holder))
}
