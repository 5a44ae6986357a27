package org.heatherwind.gateway.peer

import org.heatherwind.core.identity.Incarnation
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given a witness, when ceilings and a successor's question arrive in any order, then none is raised unseen. */
class CeilingWitnessTest {
    private class Case(
        val name: String,
        val notices: List<StoreCeilingsRequest>,
        val question: CloseCeilingsRequest = CloseCeilingsRequest(SELF, HOLDER),
        val known: Map<String, Long>?,
        val isLateNoticeKept: Boolean,
    )

    private val cases = listOf(
        Case("nothing was kept", notices = emptyList(), known = emptyMap(), isLateNoticeKept = false),
        Case(
            "the last ceiling",
            listOf(notice(10), notice(30)),
            known = mapOf("studio" to 30L),
            isLateNoticeKept = false,
        ),
        Case(
            "a lower ceiling that arrives late",
            listOf(notice(30), notice(10)),
            known = mapOf("studio" to 30L),
            isLateNoticeKept = false,
        ),
        Case(
            "ceilings of another holder",
            listOf(StoreCeilingsRequest(SELF, "router-9@1", mapOf("studio" to 5L))),
            known = emptyMap(),
            isLateNoticeKept = false,
        ),
        Case(
            "ceilings meant for an earlier process",
            listOf(StoreCeilingsRequest("router-2@0", HOLDER, mapOf("studio" to 5L))),
            known = emptyMap(),
            isLateNoticeKept = false,
        ),
        Case(
            "a question meant for an earlier process",
            listOf(notice(10)),
            question = CloseCeilingsRequest("router-2@0", HOLDER),
            known = null,
            isLateNoticeKept = true,
        ),
    )

    @TestFactory
    fun `a successor learns the ceilings`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val witness = CeilingWitness(Incarnation(SELF))
            case.notices.forEach { witness.keep(it) }
            assertEquals(case.known, witness.close(case.question).ceilings)
            assertEquals(case.isLateNoticeKept, witness.keep(notice(99)).isKept)
        }
    }

    private companion object {
        const val SELF = "router-2@7"
        const val HOLDER = "router-1@5"

        fun notice(tokens: Long) = StoreCeilingsRequest(SELF, HOLDER, mapOf("studio" to tokens))
    }
}
