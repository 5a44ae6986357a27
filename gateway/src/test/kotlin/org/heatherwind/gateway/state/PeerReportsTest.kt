package org.heatherwind.gateway.state

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.gateway.http.hostAndPort
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals

/** Given an odd report, when reports are read, then those beside it are recorded. */
class PeerReportsTest {
    private class Case(val name: String, val value: String)

    private fun report(address: String, more: String = "") =
        """{"incarnation":"odd@1","epoch":1,"sequence":1,"epochMilliseconds":1,"peerAddress":"$address"$more}"""

    private val cases = listOf(
        Case("a port above the range", report("10.0.0.9:70000")),
        Case("a port below the range", report("10.0.0.9:-1")),
        Case("a host name", report("localhost:7520")),
        Case("an empty address", report("")),
        Case("nested lists", report("10.0.0.9:0", ""","budgets":${"[".repeat(100_000)}""")),
        Case("nested objects", report("10.0.0.9:0", ""","more":${"{\"a\":".repeat(100_000)}""")),
        Case("a number beyond a Long", """{"incarnation":"odd@1","epoch":1e300}"""),
        Case("a budget with too few numbers", report("10.0.0.9:0", ""","budgets":{"c":[1,2]}""")),
        Case("not JSON", "\u0000"),
    )

    // Guards against a report that ends the reader of reports, or whose host name is looked up on the event loop.
    @TestFactory
    fun `given an odd report when reports are read then the others are recorded`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val clock = MonotonicClock { MonotonicTime(1_000) }
                val self = Incarnation.of(InstanceId("self"), Timestamp(1))
                val reports = PeerReports(self, clock, DecisionLog(clock, GatewayMetrics()))
                val sound = """{"incarnation":"r2@1","epoch":1,"sequence":1,"epochMilliseconds":1,""" +
                    """"peerAddress":"10.0.0.2:7520"}"""
                reports.onRecords(listOf(record("odd", case.value), record("r2", sound)))
                assertEquals(listOf("10.0.0.2:7520"), reports.peerAddresses().map { it.hostAndPort })
            }
        }

    // Guards against a router of an earlier version that takes those of a later one for gone.
    @Test
    fun `given a report with a field of a later version when reports are read then it is recorded`() {
        val clock = MonotonicClock { MonotonicTime(1_000) }
        val self = Incarnation.of(InstanceId("self"), Timestamp(1))
        val reports = PeerReports(self, clock, DecisionLog(clock, GatewayMetrics()))
        reports.onRecords(listOf(record("r2", report("10.0.0.9:7520", ",\"later\":{\"a\":[1]}"))))
        assertEquals(listOf("10.0.0.9:7520"), reports.peerAddresses().map { it.hostAndPort })
    }

    private fun record(key: String, value: String) = KeyedRecord(offset = 0, key, value.encodeToByteArray())
}
