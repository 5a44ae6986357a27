package org.heatherwind.core.routing

import com.google.common.hash.Hashing
import org.heatherwind.core.identity.BudgetId
import kotlin.text.Charsets.UTF_8

/** Places keys on members by highest random weight (Thaler and Ravishankar, 1998). */
public object Rendezvous {
    /** [members] in the order in which they should serve [key]; the same on every router. */
    public fun <M> rank(key: String, members: Collection<M>, name: (M) -> String): List<M> =
        members.sortedWith(compareByDescending<M> { weight(key, name(it)) }.thenBy { name(it) })

    /** The member that should serve [key] first, or null when there is none. */
    public fun <M> first(key: String, members: Collection<M>, name: (M) -> String): M? =
        members.maxWithOrNull(compareBy<M> { weight(key, name(it)) }.thenByDescending { name(it) })

    /** The ledger shard of [budget] among [shards]. */
    public fun shardOf(budget: BudgetId, shards: Int): Int = partitionOf(budget.value, shards)

    /** The partition of [key] among [partitions]. */
    public fun partitionOf(key: String, partitions: Int): Int =
        Hashing.consistentHash(Hashing.farmHashFingerprint64().hashString(key, UTF_8), partitions)

    private fun weight(key: String, member: String): Long = Hashing.farmHashFingerprint64().newHasher().putString(
        key,
        UTF_8,
    ).putByte(0).putString(member, UTF_8).hash().asLong()
}
