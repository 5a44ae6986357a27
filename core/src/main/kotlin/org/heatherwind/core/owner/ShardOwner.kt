package org.heatherwind.core.owner

import org.heatherwind.core.identity.Timestamp

/**
 * Decides how a shard owner reacts to an event. The tokens that it commits of a budget never exceed the grant read from
 * the log, so all owners together cannot spend more than was prepaid.
 */
public class ShardOwner(private val settings: OwnerSettings = OwnerSettings()) {
    /** Returns the state after [event] at [now] and the effects to carry out; has no side effects. */
    public fun decide(state: OwnerState, event: OwnerEvent, now: Timestamp): OwnerDecision {
        val draft = OwnerDraft(state, settings, now)
        when (event) {
            is OwnerEvent.Reserve -> draft.reserve(event)
            is OwnerEvent.Settle -> draft.settle(event)
            is OwnerEvent.BatchRead -> draft.applyBatch(event)
            is OwnerEvent.LedgerReplaced -> draft.replaceLedger(event.ledger)
            is OwnerEvent.ProcessGone -> draft.declareGone(event.process)
            is OwnerEvent.HolderRequestsSettled -> draft.releaseHolder(event.holder)
            is OwnerEvent.Tick -> draft.tick()
            is OwnerEvent.Drain -> draft.drain()
        }
        return draft.decision()
    }

    private fun OwnerDraft.tick() {
        expireClaims()
        interruptRequestsWhere { isOverdue(it.deadline) }
        settleForGoneHolders()
        expireWaiting()
        if (state.isDraining) returnFreeTokens()
    }
}
