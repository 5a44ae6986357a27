package org.heatherwind.gateway.peer

import org.heatherwind.gateway.http.socketAddressOf

/** Stores and reads spend ceilings at witnesses. */
internal interface WitnessService {
    /** Stores [ceilings] of [holder], in tokens by customer, at [witness]. Returns whether the witness confirmed it. */
    suspend fun storeCeilings(witness: WitnessReference, holder: String, ceilings: Map<String, Long>): Boolean

    /**
     * Returns the last ceilings of [holder] that [witness] stored, in tokens by customer, or null if the witness does
     * not respond or has been restarted. The witness then rejects further ceilings of [holder].
     */
    suspend fun closeCeilings(witness: WitnessReference, holder: String): Map<String, Long>?
}

/** Calls witnesses over the network. */
internal class WitnessClient(private val client: PeerClient) : WitnessService {
    override suspend fun storeCeilings(
        witness: WitnessReference,
        holder: String,
        ceilings: Map<String, Long>,
    ): Boolean {
        val request = StoreCeilingsRequest(witness.incarnation, holder, ceilings)
        val address = socketAddressOf(witness.address) ?: return false
        val response = client.call(
            address,
            STORE_PATH,
            request,
            StoreCeilingsRequest.serializer(),
            StoreCeilingsResponse.serializer(),
        )
        return response?.isStored == true
    }

    override suspend fun closeCeilings(witness: WitnessReference, holder: String): Map<String, Long>? {
        val request = CloseCeilingsRequest(witness.incarnation, holder)
        val address = socketAddressOf(witness.address) ?: return null
        return client.call(
            address,
            CLOSE_PATH,
            request,
            CloseCeilingsRequest.serializer(),
            CloseCeilingsResponse.serializer(),
        )?.ceilings
    }

    companion object {
        /** Path of the endpoint that stores ceilings. */
        const val STORE_PATH: String = "/witness/keep"

        /** Path of the endpoint that returns ceilings to a successor and closes them. */
        const val CLOSE_PATH: String = "/witness/close"
    }
}
