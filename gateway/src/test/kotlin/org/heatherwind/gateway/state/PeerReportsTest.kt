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
import kotlin.test.assertSame

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

    private class Start(val name: String, val ownIncarnation: String, val knownAfter: Long)

    private val starts = listOf(
        Start("a new instance", ownIncarnation = "self@1", knownAfter = 10_000),
        Start("an instance with a predecessor", ownIncarnation = "self@0", knownAfter = 0),
    )

    // Guards against routers that use shares of a cold target which others, who don't know them, use as well.
    @TestFactory
    fun `given a start when reports are read then the router counts itself as known once the others know it`() =
        starts.map { start ->
            DynamicTest.dynamicTest(start.name) {
                var now = MonotonicTime(1_000)
                val clock = MonotonicClock { now }
                val self = Incarnation.of(InstanceId("self"), Timestamp(1))
                val reports = PeerReports(self, clock, DecisionLog(clock, GatewayMetrics()))
                assertEquals(null to false, reports.possibleRouters to reports.isKnownToOthers)
                reports.onRecords(listOf(record("r2", report("10.0.0.9:7520"))))
                reports.onCurrent(now, isReconnected = false)
                assertEquals(false, reports.isKnownToOthers)
                reports.onRecords(
                    listOf(record("self", report("10.0.0.8:7520").replace("odd@1", start.ownIncarnation))),
                )
                now = now.plusMilliseconds(start.knownAfter - 1)
                assertEquals(false, reports.isKnownToOthers && start.knownAfter > 0)
                now = now.plusMilliseconds(1)
                assertEquals(true, reports.isKnownToOthers)
                assertEquals(setOf("self", "r2"), reports.possibleRouters?.map { it.value }?.toSet())
            }
        }

    // Guards against shares of a router that is cut off from the store, and sends, being used by others as well.
    @Test
    fun `given a router that stops to report when a minute passes then it isn't live but keeps its shares`() {
        var now = MonotonicTime(1_000)
        val clock = MonotonicClock { now }
        val self = Incarnation.of(InstanceId("self"), Timestamp(1))
        val reports = PeerReports(self, clock, DecisionLog(clock, GatewayMetrics()))
        reports.onRecords(listOf(record("r2", report("10.0.0.9:7520"))))
        val first = reports.possibleRouters
        now = now.plusMilliseconds(60_000)
        reports.onCurrent(now, isReconnected = false)
        assertEquals(1, reports.liveCount())
        assertSame(first, reports.possibleRouters)
        now = now.plusMilliseconds(600_000)
        reports.onCurrent(now, isReconnected = false)
        assertEquals(setOf(InstanceId("self")), reports.possibleRouters)
    }

    private fun record(key: String, value: String) = KeyedRecord(offset = 0, key, value.encodeToByteArray())
}
