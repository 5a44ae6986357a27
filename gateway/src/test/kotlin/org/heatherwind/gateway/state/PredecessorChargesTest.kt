package org.heatherwind.gateway.state

import kotlinx.coroutines.test.runTest
import org.heatherwind.core.escrow.HolderCharge
import org.heatherwind.core.identity.CustomerId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.peer.WitnessReference
import org.heatherwind.gateway.peer.WitnessService
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given the last report of a predecessor, when its successor starts, then the bound covers all possible charges. */
class PredecessorChargesTest {
    private class Case(
        val name: String,
        val elapsedMilliseconds: Long,
        val witnessed: Map<String, Long>? = null,
        val hasWitness: Boolean = true,
        val latestReportMilliseconds: Long? = null,
        val sinceStartMilliseconds: Long = 0,
        val atMost: Long,
    )

    private val cases = listOf(
        Case("a short time since the last report: the ceiling", elapsedMilliseconds = 500, atMost = 2_000),
        Case("a wall clock that was set back: no upper bound", elapsedMilliseconds = -1, atMost = Long.MAX_VALUE),
        Case(
            "a long time since the last report, the witness stored a higher ceiling",
            4_000,
            mapOf("studio" to 9_000),
            atMost = 9_000,
        ),
        Case(
            "a long time since the last report, the witness stored a lower ceiling",
            4_000,
            mapOf("studio" to 1_500),
            atMost = 5_475,
        ),
        Case("a long time since the last report, the witness does not respond", 4_000, atMost = 8_500),
        Case(
            "a wall clock that was set back by less than the time passed: the reports of others count",
            elapsedMilliseconds = 500,
            hasWitness = false,
            latestReportMilliseconds = 4_000,
            atMost = 5_475,
        ),
        Case(
            "others reported 3 s after this process started: that time is not the predecessor's",
            elapsedMilliseconds = 500,
            hasWitness = false,
            latestReportMilliseconds = 3_500,
            sinceStartMilliseconds = 3_000,
            atMost = 2_000,
        ),
        Case("a long time since the last report, no witness", 4_000, hasWitness = false, atMost = 5_475),
    )

    @TestFactory
    fun `given a last report when it is recorded then the charge has the expected bounds`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                runTest {
                    val clock = MonotonicClock { MonotonicTime(0) }
                    val predecessorCharges = PredecessorCharges(
                        self = Incarnation("router-1@9"),
                        startedAt = Timestamp(REPORTED_AT + case.elapsedMilliseconds),
                        witnesses = FixedWitnesses(case.witnessed),
                        log = DecisionLog(clock, GatewayMetrics()),
                    )
                    predecessorCharges.recordFinalReport(
                        report = reportOf(case),
                        latestReportAt = case.latestReportMilliseconds?.let { Timestamp(REPORTED_AT + it) },
                        sinceStartMilliseconds = case.sinceStartMilliseconds,
                    )
                    val expected = mapOf(CustomerId("studio") to HolderCharge(atLeast = 1_000, atMost = case.atMost))
                    assertEquals(expected, predecessorCharges.charges[Incarnation(PREDECESSOR)])
                }
            }
        }

    private fun reportOf(case: Case) = RouterReport(
        incarnation = PREDECESSOR,
        epoch = 1,
        sequence = 8,
        epochMilliseconds = REPORTED_AT,
        budgets = mapOf(
            "studio" to BudgetReport(
                usedTokens = 1_000,
                ceilingTokens = 2_000,
                growthPerSecond = 1_000,
                releaseTokens = 100,
                availableTokens = 50_000,
                demandPerSecond = 1_000,
            ),
        ),
        witness = WitnessReference("router-2@7", "10.0.0.2:7340").takeIf { case.hasWitness },
    )

    private class FixedWitnesses(private val ceilings: Map<String, Long>?) : WitnessService {
        override suspend fun storeCeilings(witness: WitnessReference, holder: String, ceilings: Map<String, Long>) =
            true

        override suspend fun closeCeilings(witness: WitnessReference, holder: String) = ceilings
    }

    private companion object {
        const val PREDECESSOR = "router-1@5"
        const val REPORTED_AT = 1_700_000_000_000L
    }
}
