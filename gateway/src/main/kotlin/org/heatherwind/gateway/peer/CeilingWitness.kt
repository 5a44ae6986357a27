package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.Incarnation

/**
 * Stores the spend ceilings of routers that cannot reach the store, for their successors. Once a successor has read the
 * ceilings of its predecessor, further ones of that predecessor are rejected, so that the values read stay valid.
 */
internal class CeilingWitness(private val self: Incarnation) {
    private val ceilingsByHolder = HashMap<String, Map<String, Long>>()
    private val closedHolders = HashSet<String>()

    /** Stores the ceilings of [request]. A ceiling lower than the stored one of the same customer is ignored. */
    fun storeCeilings(request: StoreCeilingsRequest): StoreCeilingsResponse {
        if (request.witness != self.value || request.holder in closedHolders) {
            return StoreCeilingsResponse(isStored = false)
        }
        val previous = ceilingsByHolder[request.holder].orEmpty()
        ceilingsByHolder[request.holder] = previous + request.ceilings.mapValues { (customer, tokens) ->
            maxOf(tokens, previous[customer] ?: Long.MIN_VALUE)
        }
        return StoreCeilingsResponse(isStored = true)
    }

    /** Returns the stored ceilings of the holder, and accepts no further ones from it. */
    fun closeCeilings(request: CloseCeilingsRequest): CloseCeilingsResponse {
        if (request.witness != self.value) return CloseCeilingsResponse()
        closedHolders += request.holder
        return CloseCeilingsResponse(ceilingsByHolder[request.holder].orEmpty())
    }
}
