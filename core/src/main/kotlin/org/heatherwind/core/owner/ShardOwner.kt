package org.heatherwind.core.owner

import org.heatherwind.core.identity.Timestamp

/**
 * Decides what a home does with an event. What it commits of a budget never exceeds the grant that was read back from
 * the log, so no set of homes can spend more than was prepaid.
 */
public class ShardOwner(private val settings: OwnerSettings = OwnerSettings()) {
    /** The state after [event] at [now], with what is to be done. */
    public fun decide(state: OwnerState, event: OwnerEvent, now: Timestamp): OwnerDecision {
        val draft = OwnerDraft(state, settings, now)
        when (event) {
            is OwnerEvent.Reserve -> draft.reserve(event)
            is OwnerEvent.Settle -> draft.settle(event)
            is OwnerEvent.BatchRead -> draft.read(event)
            is OwnerEvent.LedgerReplaced -> draft.replaceLedger(event.ledger)
            is OwnerEvent.ProcessGone -> draft.declareGone(event.process)
            is OwnerEvent.AccountsClosed -> draft.releaseHolder(event.holder)
            is OwnerEvent.Tick -> draft.tick()
            is OwnerEvent.Drain -> draft.drain()
        }
        return draft.decision()
    }

    private fun OwnerDraft.tick() {
        expireClaims()
        interruptRequestsOf { isOverdue(it.deadline) }
        settleForGoneHolders()
        expireWaiting()
        if (state.isDraining) giveBackAll()
    }
}
