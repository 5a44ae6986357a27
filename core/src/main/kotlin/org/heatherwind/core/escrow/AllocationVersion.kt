package org.heatherwind.core.escrow

/**
 * Where one stored state of a customer's allocation stands among the others. Each state replaces the one with the
 * revision before. When the store comes back from a copy of itself, its newest states are lost, and routers that know
 * later ones store them again.
 *
 * @property era the store's era in which the state was stored
 * @property revision increases with each state
 * @property basis the last revision of earlier eras that the state takes into account
 */
public data class AllocationVersion(val era: Long = 0, val revision: Long = 0, val basis: Long = 0) {
    /** Returns the version of the state that replaces this one in [currentEra]. */
    public fun next(currentEra: Long): AllocationVersion = AllocationVersion(
        era = currentEra,
        revision = revision + 1,
        basis = if (era == currentEra) basis else revision,
    )
}

/** One customer's [allocation] with its [version]. */
public data class VersionedAllocation(val allocation: BudgetAllocation, val version: AllocationVersion) {
    /**
     * Returns what follows from this state, which the store has in [currentEra], and the state that is [known] from
     * before. Of states of one line the later one counts. Of two lines, which parted at a return of the store, neither
     * lacks a grant that was made in the other.
     */
    public fun mergedWith(known: VersionedAllocation, currentEra: Long): VersionedAllocation {
        val isStoredNow = version.era == currentEra
        val isKnownNow = known.version.era == currentEra
        return when {
            isStoredNow && isKnownNow -> this
            !isStoredNow && !isKnownNow -> laterOf(known)
            isStoredNow -> combinedWith(known)
            else -> known.combinedWith(this)
        }
    }

    /**
     * Returns the later one of this state and [known], both of earlier eras. Two states of one revision differ if one
     * of them was stored after a return that its writer had not noticed.
     */
    private fun laterOf(known: VersionedAllocation): VersionedAllocation = when {
        version.revision > known.version.revision -> this
        version.revision < known.version.revision -> known
        else -> copy(allocation = allocation.atLeast(known.allocation))
    }

    /** Returns this state of the current era with what it lacks of [earlier], a state of an earlier one. */
    private fun combinedWith(earlier: VersionedAllocation): VersionedAllocation {
        if (earlier.version.revision <= version.basis) return this
        return VersionedAllocation(
            allocation.atLeast(earlier.allocation),
            version.copy(
                basis = earlier.version.revision,
                revision = maxOf(version.revision, earlier.version.revision),
            ),
        )
    }
}
