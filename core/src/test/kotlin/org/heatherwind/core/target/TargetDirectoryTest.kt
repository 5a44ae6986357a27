package org.heatherwind.core.target

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given a list of targets, when it changes, also just after an outage, then only live targets are candidates. */
class TargetDirectoryTest {
    private class Case(val name: String, val expected: Set<String>, val change: (TargetDirectory) -> TargetDirectory)

    private val twoTargets = TargetDirectory().with(entry("a")).with(entry("b"))

    private val cases = listOf(
        Case("both are ready", setOf("a", "b")) { it },
        Case("one drains", setOf("b")) { it.with(entry("a", isDraining = true)) },
        Case("one is removed", setOf("b")) { it.without(TargetId("a"), MonotonicTime(100)) },
        Case("one is removed just after an outage", setOf("a", "b")) {
            it.withContactRegained(MonotonicTime(100)).without(TargetId("a"), MonotonicTime(200))
        },
        Case("one is removed just after an outage and does not reappear", setOf("b")) {
            it.withContactRegained(MonotonicTime(100))
                .without(TargetId("a"), MonotonicTime(200))
                .withoutExpiredRemovals(MonotonicTime(3_000))
        },
        Case("one is removed just after an outage and reappears", setOf("a", "b")) {
            it.withContactRegained(MonotonicTime(100))
                .without(TargetId("a"), MonotonicTime(200))
                .with(entry("a"))
                .withoutExpiredRemovals(MonotonicTime(3_000))
        },
        Case("a draining one is removed just after an outage", setOf("b")) {
            it.with(entry("a", isDraining = true))
                .withContactRegained(MonotonicTime(100))
                .without(TargetId("a"), MonotonicTime(200))
        },
        // Guards against a store that shows older entries when it is reachable again.
        Case("an older entry appears just after an outage", setOf("b")) {
            it.with(entry("a", isDraining = true, sequence = 9), MonotonicTime(100))
                .withContactRegained(MonotonicTime(20_000))
                .withEntries(listOf(entry("a", sequence = 7), entry("b")), MonotonicTime(20_100))
        },
        Case("an entry appears again long after its removal", setOf("a", "b")) {
            it.with(entry("a", sequence = 9), MonotonicTime(100))
                .without(TargetId("a"), MonotonicTime(200))
                .withoutExpiredRemovals(MonotonicTime(20_000))
                .with(entry("a", sequence = 3), MonotonicTime(20_100))
        },
        Case("the whole list is read again", setOf("c")) {
            it.withEntries(listOf(entry("c")), MonotonicTime(100))
        },
    )

    @TestFactory
    fun `live targets are candidates`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val names = case.change(twoTargets).candidatesOf(SERVICE).map { it.id.value }.toSet()
            assertEquals(case.expected, names)
        }
    }

    private fun entry(id: String, isDraining: Boolean = false, sequence: Long = 0) = TargetEntry(
        id = TargetId(id),
        service = SERVICE,
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreId("z"),
        version = "v1",
        slots = 4,
        isDraining = isDraining,
        startedAtEpochMilliseconds = 1,
        sequence = sequence,
    )

    private companion object {
        val SERVICE = ServiceId("pool")
    }
}
