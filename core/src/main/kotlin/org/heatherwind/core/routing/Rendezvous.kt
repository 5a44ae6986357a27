package org.heatherwind.core.routing

import com.google.common.hash.Hashing
import org.heatherwind.core.identity.BudgetId
import kotlin.text.Charsets.UTF_8

/** Assigns keys to members by rendezvous hashing, or highest random weight (Thaler and Ravishankar, 1998). */
public object Rendezvous {
    /** Returns [members] in the order in which they should serve [key], which is the same on every router. */
    public fun <M> rank(key: String, members: Collection<M>, name: (M) -> String): List<M> =
        members.sortedWith(compareByDescending<M> { weight(key, name(it)) }.thenBy { name(it) })

    /** Returns the member that should serve [key] first, or null if [members] is empty. */
    public fun <M> first(key: String, members: Collection<M>, name: (M) -> String): M? =
        members.map { Candidate(it, name(it), weight(key, name(it))) }
            .maxWithOrNull(compareBy<Candidate<M>> { it.weight }.thenByDescending { it.name })?.member

    /** Returns the position of [member] among itself and [others] in the order in which they should serve [key]. */
    public fun <M> position(key: String, member: M, others: Collection<M>, name: (M) -> String): Int {
        val ownName = name(member)
        val ownWeight = weight(key, ownName)
        return others.count { other ->
            val otherName = name(other)
            val otherWeight = weight(key, otherName)
            otherWeight > ownWeight || (otherWeight == ownWeight && otherName < ownName)
        }
    }

    /** Returns the index of the ledger shard of [budget] among [shards] shards. */
    public fun shardOf(budget: BudgetId, shards: Int): Int = partitionOf(budget.value, shards)

    /** Returns the index of the partition of [key] among [partitions] partitions, by consistent hashing. */
    public fun partitionOf(key: String, partitions: Int): Int =
        Hashing.consistentHash(Hashing.farmHashFingerprint64().hashString(key, UTF_8), partitions)

    /** A member with its weight for one key, computed once for all comparisons. */
    private class Candidate<M>(val member: M, val name: String, val weight: Long)

    private fun weight(key: String, member: String): Long = Hashing.farmHashFingerprint64().newHasher().putString(
        key,
        UTF_8,
    ).putByte(0).putString(member, UTF_8).hash().asLong()
}
