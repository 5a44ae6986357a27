package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation

/** Processes that a home depends on. */
public object KnownProcesses {
    /** Every process that holds tokens, has requests open, or wrote to the shard, and was not declared gone. */
    public fun of(state: OwnerState): Set<Incarnation> = buildSet {
        state.ledger.budgets.values.forEach { addAll(it.remaining.keys) }
        state.ledger.open.forEach { (key, opened) ->
            add(key.holder)
            add(opened.entry)
        }
        state.open.values.forEach { add(it.entry) }
        addAll(state.ledger.writers.keys)
        removeAll(state.ledger.gone.keys)
        remove(state.holder)
    }
}
