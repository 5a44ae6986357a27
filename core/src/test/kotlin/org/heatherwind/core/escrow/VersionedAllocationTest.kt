package org.heatherwind.core.escrow

import kotlinx.collections.immutable.persistentHashMapOf
import org.heatherwind.core.identity.Incarnation
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Given a state of an allocation that the store has and one that a router knows, then no grant of either is lost. */
class VersionedAllocationTest {
    private class Case(
        val name: String,
        val stored: VersionedAllocation,
        val known: VersionedAllocation,
        val merged: BudgetAllocation,
        val basis: Long? = null,
    )

    private val cases = listOf(
        Case(
            "a later state of this era",
            stored = state(era = 2, revision = 6, a = 10),
            known = state(era = 2, revision = 5, a = 90),
            merged = allocation(a = 10),
        ),
        Case(
            "a copy that is older",
            stored = state(era = 1, revision = 4, a = 10),
            known = state(era = 1, revision = 6, a = 90, b = 5),
            merged = allocation(a = 90, b = 5),
        ),
        Case(
            "a copy that is newer",
            stored = state(era = 1, revision = 6, a = 10),
            known = state(era = 1, revision = 4, a = 90),
            merged = allocation(a = 10),
        ),
        Case(
            "two states of one revision",
            stored = state(era = 1, revision = 6, a = 10, b = 30),
            known = state(era = 1, revision = 6, a = 90),
            merged = allocation(a = 90, b = 30),
        ),
        Case(
            "a rewrite that takes the known state into account",
            stored = state(era = 2, revision = 9, basis = 6, a = 10),
            known = state(era = 1, revision = 6, a = 90),
            merged = allocation(a = 10),
        ),
        Case(
            "a rewrite of an earlier state",
            stored = state(era = 2, revision = 9, basis = 4, a = 10, b = 30),
            known = state(era = 1, revision = 6, a = 90),
            merged = allocation(a = 90, b = 30),
            basis = 6,
        ),
        Case(
            "a late write of the era before over a rewrite",
            stored = state(era = 1, revision = 7, a = 90),
            known = state(era = 2, revision = 9, basis = 6, a = 10, b = 30),
            merged = allocation(a = 90, b = 30),
            basis = 7,
        ),
        Case(
            "a write of the era before that the rewrite has",
            stored = state(era = 1, revision = 6, a = 90),
            known = state(era = 2, revision = 9, basis = 6, a = 10, b = 30),
            merged = allocation(a = 10, b = 30),
        ),
    )

    // Guards against grants that are lost with a copy of the store and granted again to another router.
    @TestFactory
    fun `given a stored and a known state when merged then what follows from both is kept`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val merged = case.stored.mergedWith(case.known, currentEra = 2)
                assertEquals(case.merged, merged.allocation)
                case.basis?.let { assertEquals(it, merged.version.basis) }
            }
        }

    @TestFactory
    fun `given a version when it is replaced then its basis is the last revision of earlier eras`() = listOf(
        AllocationVersion(era = 1, revision = 4, basis = 2) to AllocationVersion(era = 2, revision = 5, basis = 4),
        AllocationVersion(era = 2, revision = 5, basis = 4) to AllocationVersion(era = 2, revision = 6, basis = 4),
    ).map { (before, after) -> DynamicTest.dynamicTest("$before") { assertEquals(after, before.next(currentEra = 2)) } }

    private fun state(era: Long, revision: Long, basis: Long = 0, a: Long = 0, b: Long = 0) =
        VersionedAllocation(allocation(a, b), AllocationVersion(era, revision, basis))

    private fun allocation(a: Long = 0, b: Long = 0) = BudgetAllocation(
        grants = mapOf("a" to a, "b" to b).filterValues { it > 0 }.entries
            .fold(persistentHashMapOf()) { grants, (holder, tokens) -> grants.put(Incarnation(holder), tokens) },
    )
}
