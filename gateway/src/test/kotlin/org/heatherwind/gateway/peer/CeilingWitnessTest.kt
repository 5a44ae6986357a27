package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.Incarnation
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given a witness, when a successor closes a holder's ceilings, then it gets the highest; later ones are rejected. */
class CeilingWitnessTest {
    private class Case(
        val name: String,
        val requests: List<StoreCeilingsRequest>,
        val closeRequest: CloseCeilingsRequest = CloseCeilingsRequest(SELF, HOLDER),
        val expected: Map<String, Long>?,
        val isLateRequestStored: Boolean,
    )

    private val cases = listOf(
        Case("nothing was stored", requests = emptyList(), expected = emptyMap(), isLateRequestStored = false),
        Case(
            "the last ceiling",
            listOf(requestOf(10), requestOf(30)),
            expected = mapOf("studio" to 30L),
            isLateRequestStored = false,
        ),
        Case(
            "a lower ceiling that arrives late",
            listOf(requestOf(30), requestOf(10)),
            expected = mapOf("studio" to 30L),
            isLateRequestStored = false,
        ),
        Case(
            "ceilings of another holder",
            listOf(StoreCeilingsRequest(SELF, "router-9@1", mapOf("studio" to 5L))),
            expected = emptyMap(),
            isLateRequestStored = false,
        ),
        Case(
            "ceilings for a predecessor of the witness",
            listOf(StoreCeilingsRequest("router-2@0", HOLDER, mapOf("studio" to 5L))),
            expected = emptyMap(),
            isLateRequestStored = false,
        ),
        Case(
            "a close request for a predecessor of the witness",
            listOf(requestOf(10)),
            closeRequest = CloseCeilingsRequest("router-2@0", HOLDER),
            expected = null,
            isLateRequestStored = true,
        ),
    )

    @TestFactory
    fun `given stored ceilings when a successor closes them then it gets the highest ones`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val witness = CeilingWitness(Incarnation(SELF))
                case.requests.forEach { witness.storeCeilings(it) }
                assertEquals(case.expected, witness.closeCeilings(case.closeRequest).ceilings)
                assertEquals(case.isLateRequestStored, witness.storeCeilings(requestOf(99)).isStored)
            }
        }

    private companion object {
        const val SELF = "router-2@7"
        const val HOLDER = "router-1@5"

        fun requestOf(tokens: Long) = StoreCeilingsRequest(SELF, HOLDER, mapOf("studio" to tokens))
    }
}
