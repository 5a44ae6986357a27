package org.heatherwind.core.placement

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.target.TargetEntry
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given what a target and the list of targets state about its warmth, then the newest word counts, once. */
class ColdStatementsTest {
    private class Case(val name: String, val coldUntil: Long?, val state: TargetLoad.() -> Unit)

    private val cases = listOf(
        Case("no statement", coldUntil = null) {},
        Case("a warm entry", coldUntil = null) { list(0, offset = 1, at = 10) },
        Case("a cold entry", coldUntil = 3_010) { list(3_000, offset = 1, at = 10) },
        Case("a cold entry that is read again", coldUntil = 3_010) {
            list(3_000, offset = 1, at = 10)
            list(3_000, offset = 1, at = 900)
        },
        Case("a newer entry with the same time", coldUntil = 3_900) {
            list(3_000, offset = 1, at = 10)
            list(3_000, offset = 2, at = 900)
        },
        Case("an older entry that is read again after a newer one", coldUntil = null) {
            list(3_000, offset = 1, at = 10)
            list(0, offset = 2, at = 900)
            list(3_000, offset = 1, at = 1_000)
        },
        Case("a target that is warm sooner", coldUntil = 1_000) {
            list(3_000, offset = 1, at = 10)
            list(100, offset = 2, at = 900)
        },
        Case("a target that becomes cold again", coldUntil = 9_000) {
            list(3_000, offset = 1, at = 10)
            list(0, offset = 2, at = 4_000)
            list(2_000, offset = 3, at = 7_000)
        },
        Case("an answer after a warm entry", coldUntil = 2_500) {
            list(0, offset = 1, at = 10)
            coldStatements.record(2_000, MonotonicTime(500))
        },
        Case("a warm answer after a cold entry that is read again", coldUntil = null) {
            list(3_000, offset = 1, at = 10)
            coldStatements.record(0, MonotonicTime(500))
            list(3_000, offset = 1, at = 900)
        },
    )

    // Guards against a crash of a cold target that is taken for warm, and against one that stays cold for ever.
    @TestFactory
    fun `given statements then the newest one counts from its first reading`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val load = TargetLoad(entry)
            case.state(load)
            assertEquals(case.coldUntil?.let { MonotonicTime(it) } ?: MonotonicTime.distantPast, load.coldUntil)
        }
    }

    private fun TargetLoad.list(milliseconds: Long, offset: Long, at: Long) =
        coldStatements.recordListed(milliseconds, offset, MonotonicTime(at))

    private val entry = TargetEntry(
        id = TargetId("t"),
        service = ServiceId("pool"),
        host = "10.0.0.1",
        port = 80,
        dataCentre = DataCentreId("a"),
        version = "v1",
        slots = 8,
        isDraining = false,
    )
}
