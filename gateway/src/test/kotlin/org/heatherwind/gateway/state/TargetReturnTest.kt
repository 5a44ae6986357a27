package org.heatherwind.gateway.state

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.ColdCeiling
import org.heatherwind.core.placement.PaceCause
import org.heatherwind.core.placement.PaceChange
import org.heatherwind.core.placement.PaceSharing
import org.heatherwind.core.target.Evacuations
import org.heatherwind.core.target.TargetDirectory
import org.heatherwind.core.target.TargetEntry
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotSame
import kotlin.test.assertTrue

/** Given a list of targets, when it changes, then the pace is found of those that return, and only of those. */
class TargetReturnTest {
    private class Case(val name: String, val cause: PaceCause?, val change: TargetDirectory.() -> TargetDirectory)

    private val cases = listOf(
        Case("nothing changes", cause = null) { this },
        Case("another target is added", PaceCause.ADDED) { with(entryOf("b", born = 5)) },
        Case("the target starts again", PaceCause.RESTARTED) { with(entryOf("a", born = 9)) },
        Case("the target has another address", cause = null) { with(entryOf("a", born = 1).copy(port = 2)) },
        Case("the target drains", cause = null) { with(entryOf("a", born = 1).copy(isDraining = true)) },
        Case("an entry without a start changes its address", PaceCause.RESTARTED) {
            with(entryOf("c", born = null).copy(port = 2))
        },
    )

    @TestFactory
    fun `a target that returns is paced`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val changes = ArrayList<PaceChange>()
            val state = FleetState { PaceSharing(onChange = { changes += it }) }
            state.adoptDirectory(TargetDirectory().with(entryOf("a", born = 1)).with(entryOf("c", born = null)), NOW)
            state.isDirectoryRead = true
            assertEquals(emptyList(), changes, "all targets of the first list are equally unknown")
            state.adoptDirectory(state.directory.run(case.change), NOW)
            assertEquals(listOfNotNull(case.cause), changes.map { it.cause })
            assertEquals(listOfNotNull(case.cause).size.toDouble(), state.limitedTargets.getValue("service"))
        }
    }

    private val replacements = listOf<Pair<String, FleetState.() -> Unit>>(
        "its address changes" to { adoptDirectory(directory.with(entryOf("a", born = 1).copy(port = 2)), NOW) },
        "its entry expires and comes back" to {
            adoptDirectory(TargetDirectory(), NOW)
            adoptDirectory(TargetDirectory().with(entryOf("a", born = 1)), NOW)
        },
    )

    // Guards against a cold target that gets twice its ceiling, and one failed back that is flooded.
    @TestFactory
    fun `what is known of one life of a target holds when its entry is replaced`(): List<DynamicTest> =
        replacements.map { (name, replace) -> DynamicTest.dynamicTest(name) { assertKept(replace) } }

    private fun assertKept(replace: FleetState.() -> Unit) {
        val self = InstanceId("self")
        val state = FleetState { PaceSharing(self, { setOf(self) }, { ColdCeiling(1.0, 1.5, 5.0) }) }
        state.adoptDirectory(TargetDirectory().with(entryOf("a", born = 1)), NOW)
        state.isDirectoryRead = true
        state.adoptEvacuations(Evacuations().with(DataCentreId("a"), offset = 1), NOW)
        state.adoptEvacuations(Evacuations(), NOW)
        val before = checkNotNull(state.loadOf(TargetId("a")))
        before.coldStatements.recordListed(9_000, offset = 7, NOW)
        assertTrue(before.isOpen(NOW))
        before.pace.recordSent(NOW)

        state.replace()

        val after = checkNotNull(state.loadOf(TargetId("a")))
        assertNotSame(before, after)
        after.coldStatements.recordListed(0, offset = 6, NOW)
        assertEquals(NOW.plusMilliseconds(9_000), after.coldUntil)
        assertFalse(after.isOpen(NOW.plusMilliseconds(900)), "it got a request less than a second ago")
        assertTrue(after.isOpen(NOW.plusMilliseconds(1_100)))
        assertTrue(after.pace.isLimited, "it was failed back just now")
    }

    private companion object {
        val NOW = MonotonicTime(1_000)

        fun entryOf(id: String, born: Long?) = TargetEntry(
            id = TargetId(id),
            service = ServiceId("service"),
            host = "10.0.0.1",
            port = 1,
            dataCentre = DataCentreId("a"),
            version = "v1",
            slots = 4,
            isDraining = false,
            startedAtEpochMilliseconds = born,
        )
    }
}
