package org.heatherwind.core.admission

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.target.TargetAvailability
import org.heatherwind.core.target.TargetEntry
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given what targets have stated and rejected, when a request looks for one, then only those that it may use count. */
class ProspectTest {
    private class Case(val name: String, val opensAt: Long?, val canOpen: Boolean, val states: String)

    /** For each target: open, paused until 90, leaving, replaced; a capital letter for one that was tried. */
    private val cases = listOf(
        Case("one is open", opensAt = null, canOpen = true, states = "op"),
        Case("the open one was tried", opensAt = 90, canOpen = true, states = "Op"),
        Case("the open one was replaced", opensAt = 90, canOpen = true, states = "rp"),
        Case("all were replaced", opensAt = null, canOpen = false, states = "rr"),
        Case("all leave, were replaced or tried", opensAt = null, canOpen = false, states = "lrO"),
    )

    @TestFactory
    fun `given targets in several states`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val targets = case.states.map { target("t$it", it.lowercaseChar()) }
            val tried = case.states.filter { it.isUpperCase() }.map { TargetId("t$it") }.toSet()
            val prospect = Prospect.of(null, targets, tried, roomMilliseconds = 0, now = NOW)
            assertEquals(case.opensAt?.let { MonotonicTime(it) }, prospect.opensAt)
            assertEquals(case.canOpen, prospect.canOpen)
        }
    }

    private val lifts = listOf<Triple<String, Boolean, (TargetLoad) -> Unit>>(
        Triple("nothing", false) { },
        Triple("a success", true) { it.recordSuccess(NOW) },
        Triple("a report of free places", true) { it.recordLoadReport(running = 7, waiting = 0, now = NOW) },
        Triple("a report of no free place", false) { it.recordLoadReport(running = 8, waiting = 0, now = NOW) },
        Triple("a report of waiting requests", false) { it.recordLoadReport(running = 7, waiting = 1, now = NOW) },
    )

    // Guards against requests that wait for a target which has places again.
    @TestFactory
    fun `given a rejection for overload and then`(): List<DynamicTest> = lifts.map { (name, isLifted, act) ->
        DynamicTest.dynamicTest(name) {
            val target = target("t", 'o').apply { recordOverload(NOW) }
            act(target)
            val prospect = Prospect.of(placement(target), listOf(target), emptySet(), roomMilliseconds = 0, now = NOW)
            assertEquals(isLifted, prospect.overloadedUntil == null)
            assertEquals(isLifted, !target.health.isSuspected(NOW))
        }
    }

    // Guards against requests drawn for a new version that are lost to its full targets.
    @TestFactory
    fun `given a request drawn for a version being introduced`(): List<DynamicTest> = listOf(
        Triple("its target is free", "of", 0),
        Triple("its target is full", "xf", 1),
        Triple("its target is full and there is no other", "x", 0),
        Triple("it has no open target", "-f", 1),
    ).map { (name, states, expected) ->
        DynamicTest.dynamicTest(name) {
            val placements = states.map { state ->
                val target = target("t", 'o').apply { if (state == 'x') recordOverload(NOW) }
                placement(target).takeUnless { state == '-' }
            }
            val chosen = Placement.introducedOrElse(placements[0], NOW) { placements.getOrNull(1) }
            assertEquals(placements[expected], chosen)
        }
    }

    private companion object {
        val NOW = MonotonicTime(10)

        fun placement(target: TargetLoad) = Placement(target, 0, 0.0, 50.0)

        fun target(id: String, state: Char) = TargetLoad(
            TargetEntry(
                id = TargetId(id),
                service = ServiceId("pool"),
                host = "10.0.0.1",
                port = 1,
                dataCentre = DataCentreId("z"),
                version = "v1",
                slots = 8,
                isDraining = false,
            ),
        ).apply {
            if (state == 'p') availability = TargetAvailability(closedUntil = MonotonicTime(90))
            if (state == 'l') availability = TargetAvailability(isLeaving = true)
            if (state == 'r') recordReplaced()
        }
    }
}
