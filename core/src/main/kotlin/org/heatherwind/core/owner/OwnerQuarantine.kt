package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.ledger.HolderGone
import org.heatherwind.core.ledger.HolderReleased

/** Ends the requests of a gone process, and quarantines its grants for every home. */
internal fun OwnerDraft.declareGone(process: Incarnation) {
    if (process == state.holder) return
    interruptRequestsOf { it.entry == process }
    if (process !in state.ledger.gone) append(HolderGone(process, declaredAt = now))
}

/** Frees the grants of a quarantined holder, once nobody runs requests under them any more. */
internal fun OwnerDraft.releaseHolder(holder: Incarnation) {
    val isReleasable = QuarantineRules.isReleasable(state.ledger, holder, now, settings)
    if (isReleasable) append(HolderReleased(holder))
}
