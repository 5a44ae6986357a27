package org.heatherwind.core.owner

import org.heatherwind.core.identity.Incarnation

/** Finds the processes whose failure a shard owner must handle. */
public object DependentProcesses {
    /**
     * Returns every process that holds tokens, is the holder or entry router of an open request, or wrote to the
     * shard's stream; without those already declared gone and without this owner's own process.
     */
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
