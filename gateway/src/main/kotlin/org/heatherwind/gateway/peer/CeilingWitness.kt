package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.Incarnation

/**
 * Keeps ceilings of other routers that cannot reach the store, for their successors. After a successor asked, ceilings
 * of its predecessor are refused, so that none is raised behind its back.
 */
internal class CeilingWitness(private val self: Incarnation) {
    private val kept = HashMap<String, Map<String, Long>>()
    private val closed = HashSet<String>()

    /** Keeps the ceilings of [notice], in place of lower ones. */
    fun keep(notice: StoreCeilingsRequest): StoreCeilingsResponse {
        if (notice.witness != self.value || notice.holder in closed) return StoreCeilingsResponse(isKept = false)
        val before = kept[notice.holder].orEmpty()
        kept[notice.holder] = before + notice.ceilings.mapValues { (customer, tokens) ->
            maxOf(tokens, before[customer] ?: Long.MIN_VALUE)
        }
        return StoreCeilingsResponse(isKept = true)
    }

    /** Answers a successor, and keeps nothing more for its predecessor. */
    fun close(question: CloseCeilingsRequest): CloseCeilingsResponse {
        if (question.witness != self.value) return CloseCeilingsResponse()
        closed += question.holder
        return CloseCeilingsResponse(kept[question.holder].orEmpty())
    }
}
