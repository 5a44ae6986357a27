package org.heatherwind.gateway.state

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.PaceCause
import org.heatherwind.core.placement.PaceChange
import org.heatherwind.core.placement.PaceSharing
import org.heatherwind.core.target.TargetDirectory
import org.heatherwind.core.target.TargetEntry
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given a list of targets that was read, when it changes, then the pace is found of those that return, and only those. */
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
