package org.heatherwind.gateway.peer

import org.heatherwind.gateway.http.socketAddressOf

/** Reaches the witness of a router's ceilings. */
internal interface WitnessService {
    /** Has [ceilings] of [holder] kept by [witness]. Answers whether they are. */
    suspend fun keep(witness: WitnessReference, holder: String, ceilings: Map<String, Long>): Boolean

    /** The last ceilings of [holder], or null where [witness] is gone. */
    suspend fun close(witness: WitnessReference, holder: String): Map<String, Long>?
}

/** Reaches witnesses over the network. */
internal class WitnessClient(private val client: PeerClient) : WitnessService {
    override suspend fun keep(witness: WitnessReference, holder: String, ceilings: Map<String, Long>): Boolean {
        val notice = StoreCeilingsRequest(witness.incarnation, holder, ceilings)
        val address = socketAddressOf(witness.address) ?: return false
        val receipt = client.ask(
            address,
            KEEP,
            notice,
            StoreCeilingsRequest.serializer(),
            StoreCeilingsResponse.serializer(),
        )
        return receipt?.isKept == true
    }

    override suspend fun close(witness: WitnessReference, holder: String): Map<String, Long>? {
        val question = CloseCeilingsRequest(witness.incarnation, holder)
        val address = socketAddressOf(witness.address) ?: return null
        return client.ask(
            address,
            CLOSE,
            question,
            CloseCeilingsRequest.serializer(),
            CloseCeilingsResponse.serializer(),
        )?.ceilings
    }

    companion object {
        /** Where a witness takes ceilings. */
        const val KEEP: String = "/witness/keep"

        /** Where a witness answers successors. */
        const val CLOSE: String = "/witness/close"
    }
}
