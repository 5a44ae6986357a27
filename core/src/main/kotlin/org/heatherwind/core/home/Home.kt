package org.heatherwind.core.home

import org.heatherwind.core.identity.Timestamp

/**
 * Decides what a home does with an event. What it commits of a budget never exceeds the grant that was read back from
 * the log, so no set of homes can spend more than was prepaid.
 */
public class Home(private val settings: HomeSettings = HomeSettings()) {
    /** The state after [event] at [now], with what is to be done. */
    public fun decide(state: HomeState, event: HomeEvent, now: Timestamp): HomeDecision {
        val draft = HomeDraft(state, settings, now)
        when (event) {
            is HomeEvent.Reserve -> draft.reserve(event)
            is HomeEvent.Settle -> draft.settle(event)
            is HomeEvent.BatchRead -> draft.read(event)
            is HomeEvent.LedgerReplaced -> draft.replaceLedger(event.ledger)
            is HomeEvent.ProcessGone -> draft.declareGone(event.process)
            is HomeEvent.AccountsClosed -> draft.releaseHolder(event.holder)
            is HomeEvent.Tick -> draft.tick()
            is HomeEvent.Drain -> draft.drain()
        }
        return draft.decision()
    }

    private fun HomeDraft.tick() {
        expireClaims()
        interruptRequestsOf { isOverdue(it.deadline) }
        settleForGoneHolders()
        expireWaiting()
        if (state.isDraining) giveBackAll()
    }
}
